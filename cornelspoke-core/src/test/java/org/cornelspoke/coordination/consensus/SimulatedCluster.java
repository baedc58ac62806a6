package org.cornelspoke.coordination.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.cornelspoke.protocol.consensus.MalformedFrameException;
import org.cornelspoke.protocol.consensus.PeerMessage;
import org.cornelspoke.protocol.consensus.PeerMessageCodec;
import org.cornelspoke.state.log.MemberIdentity;

/**
 * Several VMs, a network that loses, delays, doubles and reorders messages, and virtual time. All
 * choices come from one seed. Messages pass through the codec.
 */
final class SimulatedCluster {

  static final long HEARTBEAT = 1_000;
  static final long ELECTION_TIMEOUT = 5 * HEARTBEAT;

  /** Faults put into the driver to prove that the checker notices them. */
  enum Mutation {
    NONE,
    ACKNOWLEDGE_BEFORE_SYNC,
    VOTE_BEFORE_SYNC,
    KEEP_IDENTITY_ON_WIPE,
    READ_WITHOUT_ROUND
  }

  private record Event(long time, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(time, other.time);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  final Mutation mutation;
  final Random random;
  final HistoryChecker checker = new HistoryChecker();
  final List<SimulatedVm> vms = new ArrayList<>();
  final Map<MemberIdentity, SimulatedVm> identityOwners = new HashMap<>();
  final Set<String> blocked = new HashSet<>();
  double lossRate;
  double duplicateRate;
  long maxDelay = HEARTBEAT / 4;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long now;
  private long eventCount;
  private long nextCommand;

  SimulatedCluster(long seed, int size, Mutation mutation) {
    this.random = new Random(seed);
    this.mutation = mutation;
    for (int i = 0; i < size; i++) {
      vms.add(new SimulatedVm(this, i, random));
    }
  }

  /** Starts all VMs and forms the group of the first so many of them. */
  void bootstrap(int voters) {
    vms.forEach(SimulatedVm::start);
    List<Member> members = new ArrayList<>();
    for (SimulatedVm vm : vms.subList(0, voters)) {
      members.add(vm.asMember(true));
    }
    vms.get(0).node.bootstrap(new Membership(members));
    vms.get(0).step();
  }

  long now() {
    return now;
  }

  long randomDelay() {
    return 1 + (long) (random.nextDouble() * maxDelay);
  }

  void after(long delay, Runnable action) {
    events.add(new Event(now + delay, eventCount++, action));
  }

  void send(SimulatedVm from, RaftMessage message) {
    SimulatedVm to = identityOwners.get(message.to());
    if (to == null || random.nextDouble() < lossRate) {
      return;
    }
    byte[] frame = PeerMessageCodec.encode(new PeerMessage.Raft(message));
    int copies = random.nextDouble() < duplicateRate ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      // One message in twenty is late by several heartbeats, so it crosses newer ones.
      long extra = random.nextInt(20) == 0 ? random.nextInt((int) (8 * maxDelay)) : 0;
      after(
          randomDelay() + extra,
          () -> {
            if (!blocked.contains(link(from, to))) {
              to.receive(decode(frame));
            }
          });
    }
  }

  static String link(SimulatedVm from, SimulatedVm to) {
    return from.vmId + ">" + to.vmId;
  }

  void block(SimulatedVm from, SimulatedVm to) {
    blocked.add(link(from, to));
  }

  /** Cuts a VM off in both directions. */
  void isolate(SimulatedVm vm) {
    for (SimulatedVm other : vms) {
      block(vm, other);
      block(other, vm);
    }
  }

  void heal() {
    blocked.clear();
    lossRate = 0;
    duplicateRate = 0;
  }

  /** Runs until the time has passed or a violation was found. */
  void run(long duration) {
    long end = now + duration;
    while (!events.isEmpty() && events.peek().time() <= end && checker.violations().isEmpty()) {
      Event event = events.remove();
      now = event.time();
      try {
        event.action().run();
      } catch (RuntimeException e) {
        checker.violation(e.toString());
      }
    }
    now = end;
  }

  /** Runs until a VM leads whose leadership a majority recognises, or returns empty. */
  Optional<SimulatedVm> awaitLeader() {
    for (int i = 0; i < 400; i++) {
      run(HEARTBEAT);
      Optional<SimulatedVm> leader = leader();
      if (leader.isPresent() && leader.get().node.commitIndex() > 0) {
        return leader;
      }
    }
    return Optional.empty();
  }

  /** Returns the leader of the highest term. */
  Optional<SimulatedVm> leader() {
    SimulatedVm best = null;
    for (SimulatedVm vm : vms) {
      if (vm.isUp()
          && vm.node.role() == RaftNode.Role.LEADER
          && (best == null || vm.node.term() > best.node.term())) {
        best = vm;
      }
    }
    return Optional.ofNullable(best);
  }

  long propose(SimulatedVm vm) {
    long command = ++nextCommand;
    vm.propose(command);
    return command;
  }

  /** Changes the membership if the leader allows it now; returns true if it was appended. */
  boolean change(MembershipChange change) {
    Optional<SimulatedVm> leader = leader();
    if (leader.isEmpty()) {
      return false;
    }
    try {
      leader.get().node.changeMembership(change);
      leader.get().step();
      return true;
    } catch (MembershipRefusedException e) {
      return false;
    }
  }

  /** Repeats a change until the membership shows it, or fails the run. */
  void changeUntil(MembershipChange change, java.util.function.Predicate<Membership> done) {
    for (int i = 0; i < 400; i++) {
      Optional<SimulatedVm> leader = leader();
      if (leader.isPresent()
          && done.test(leader.get().node.membership())
          && leader.get().node.commitIndex() == leader.get().node.lastIndex()) {
        return;
      }
      change(change);
      run(HEARTBEAT);
    }
    checker.violation("membership change did not complete: " + change);
  }

  /** Ends all faults, waits until all members hold the same log, and checks the result. */
  void settleAndCheck() {
    heal();
    for (SimulatedVm vm : vms) {
      vm.disk.clearFaults();
      if (vm.isUp() && vm.node.isStorageFailed()) {
        vm.stop();
      }
      if (!vm.isUp()) {
        vm.start();
      }
    }
    Optional<SimulatedVm> leader = Optional.empty();
    for (int i = 0; i < 100 && checker.violations().isEmpty(); i++) {
      leader = awaitLeader();
      leader.ifPresent(this::propose);
      run(10 * HEARTBEAT);
      if (leader.isPresent() && allMembersApplied(leader.get())) {
        break;
      }
    }
    if (checker.violations().isEmpty()) {
      if (leader.isEmpty() || !leader.get().isUp() || !allMembersApplied(leader.get())) {
        checker.violation("no convergence after the faults ended: " + vms);
        return;
      }
      members(leader.get()).forEach(checker::checkFinal);
    }
  }

  private boolean allMembersApplied(SimulatedVm leader) {
    return leader.isUp()
        && leader.node.lastIndex() == leader.applied
        && members(leader).stream().allMatch(vm -> vm.applied == leader.applied);
  }

  private List<SimulatedVm> members(SimulatedVm leader) {
    return vms.stream()
        .filter(vm -> vm.isUp() && leader.node.membership().find(vm.node.identity()).isPresent())
        .toList();
  }

  private static RaftMessage decode(byte[] frame) {
    try {
      return ((PeerMessage.Raft) PeerMessageCodec.decode(frame)).message();
    } catch (MalformedFrameException e) {
      throw new IllegalStateException("own message cannot be decoded", e);
    }
  }
}
