package org.cornelspoke.coordination.consensus;

import java.util.Random;
import org.cornelspoke.state.log.MemberIdentity;

/** Drives one seeded run: proposals, reads, and faults of network, machines and disks. */
final class RandomFaults {

  private final SimulatedCluster cluster;
  private final Random random;
  private final boolean withWipes;
  private SimulatedVm underRepair;
  private MemberIdentity formerIdentity;
  private int repairs;
  private long nextRead;

  RandomFaults(SimulatedCluster cluster) {
    this(cluster, false);
  }

  /** With wipes, an operator replaces each wiped VM before the next one may be wiped. */
  RandomFaults(SimulatedCluster cluster, boolean withWipes) {
    this.withWipes = withWipes;
    this.cluster = cluster;
    this.random = cluster.random;
  }

  void run(int steps) {
    for (int i = 0; i < steps && cluster.checker.violations().isEmpty(); i++) {
      loadStep();
      faultStep();
      cluster.run(SimulatedCluster.HEARTBEAT / 2);
    }
  }

  /** Returns how many wiped VMs have become voters again. */
  int repairs() {
    return repairs;
  }

  /** Proposes on any VM, so that a deposed leader gets commands too. */
  void loadStep() {
    for (SimulatedVm vm : cluster.vms) {
      if (vm.isUp() && random.nextInt(3) > 0) {
        cluster.propose(vm);
      }
      if (vm.isUp() && random.nextInt(4) == 0) {
        vm.read(++nextRead);
      }
    }
  }

  private void faultStep() {
    SimulatedVm vm = cluster.vms.get(random.nextInt(cluster.vms.size()));
    SimulatedVm other = cluster.vms.get(random.nextInt(cluster.vms.size()));
    switch (random.nextInt(60)) {
      case 0 -> vm.stop();
      case 1, 2 -> vm.disk.crashAfter(random.nextInt(12));
      case 3 -> vm.disk.failSyncAfter(random.nextInt(6));
      case 4, 5 -> cluster.block(vm, other);
      case 6 -> cluster.isolate(vm);
      case 7, 8, 9 -> cluster.blocked.clear();
      case 10 -> cluster.lossRate = random.nextInt(3) * 0.15;
      case 11 -> cluster.duplicateRate = random.nextInt(3) * 0.2;
      case 12 -> cluster.maxDelay = SimulatedCluster.HEARTBEAT / (1 + random.nextInt(8));
      case 13, 14 -> {
        if (!withWipes) {
          changeMembership(vm);
        }
      }
      case 15, 16 -> {
        if (vm.isUp() && other.isUp()) {
          vm.node.unreachable(other.node.identity());
          vm.step();
        }
      }
      default -> {}
    }
    if (withWipes) {
      cluster.leader().ifPresent(leader -> repairStep(leader.node, vm));
    }
    if (!vm.isUp() && random.nextInt(3) == 0) {
      vm.start();
    } else if (vm.isUp() && vm.node.isStorageFailed() && random.nextInt(3) == 0) {
      vm.stop();
    }
  }

  private void changeMembership(SimulatedVm vm) {
    if (!vm.isUp()) {
      return;
    }
    switch (random.nextInt(3)) {
      case 0 -> cluster.change(new MembershipChange.AddLearner(vm.asMember(false)));
      case 1 -> cluster.change(new MembershipChange.Promote(vm.node.identity()));
      default -> removeUnlessFew(vm);
    }
  }

  private void removeUnlessFew(SimulatedVm vm) {
    boolean enough =
        cluster.leader().map(leader -> leader.node.membership().voterCount() > 2).orElse(false);
    if (enough) {
      cluster.change(new MembershipChange.Remove(vm.node.identity()));
    }
  }

  private void repairStep(RaftNode leader, SimulatedVm vm) {
    Membership membership = leader.membership();
    boolean committed = leader.commitIndex() == leader.lastIndex();
    if (underRepair == null) {
      if (committed && vm.isUp() && membership.isVoter(vm.node.identity())) {
        underRepair = vm;
        formerIdentity = vm.node.identity();
        vm.wipe();
      }
      return;
    }
    if (!underRepair.isUp()) {
      return;
    }
    MemberIdentity present = underRepair.node.identity();
    if (membership.find(present).isEmpty()) {
      cluster.change(new MembershipChange.AddLearner(underRepair.asMember(false)));
    } else if (membership.find(formerIdentity).isPresent()) {
      cluster.change(new MembershipChange.Remove(formerIdentity));
    } else if (!membership.isVoter(present)) {
      cluster.change(new MembershipChange.Promote(present));
    } else if (committed) {
      underRepair = null;
      repairs++;
    }
  }
}
