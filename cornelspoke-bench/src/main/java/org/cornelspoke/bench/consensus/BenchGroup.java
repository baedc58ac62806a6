package org.cornelspoke.bench.consensus;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cornelspoke.coordination.consensus.ReplicatedLog.ProposalListener;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.VmId;

/** A group of consensus services in one JVM that communicate over free loopback ports. */
final class BenchGroup {

  private static final long MAX_WAIT_SECONDS = 120;

  private final Path folder;
  private final int entriesBetweenSnapshots;
  private final Map<VmId, Endpoint> addresses = new TreeMap<>(BenchGroup::compareByValue);
  private final Map<VmId, BenchVm> vms = new TreeMap<>(BenchGroup::compareByValue);

  BenchGroup(Path folder, int size, int entriesBetweenSnapshots)
      throws IOException, InterruptedException {
    this.folder = folder;
    this.entriesBetweenSnapshots = entriesBetweenSnapshots;
    List<ServerSocket> reservedSockets = new ArrayList<>();
    for (int i = 1; i <= size; i++) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      reservedSockets.add(socket);
      addresses.put(new VmId("control-" + i), new Endpoint("127.0.0.1", socket.getLocalPort()));
    }
    for (ServerSocket socket : reservedSockets) {
      socket.close();
    }
    for (VmId vmId : addresses.keySet()) {
      start(vmId);
    }
  }

  private static int compareByValue(VmId a, VmId b) {
    return a.value().compareTo(b.value());
  }

  BenchVm start(VmId vmId) throws InterruptedException {
    BenchVm vm =
        new BenchVm(vmId, folder.resolve(vmId.value()), addresses, entriesBetweenSnapshots);
    vms.put(vmId, vm);
    return vm;
  }

  void stop(VmId vmId) throws InterruptedException {
    vms.remove(vmId).stop();
  }

  void stopAll() throws InterruptedException {
    for (BenchVm vm : vms.values()) {
      vm.stop();
    }
    vms.clear();
  }

  /** Waits for a leader that commits a command. */
  BenchVm awaitLeader() throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_WAIT_SECONDS);
    while (System.nanoTime() < deadlineNanos) {
      for (BenchVm vm : vms.values()) {
        boolean isLeader = vm.call(vm.service::isLeader);
        if (isLeader && commitsCommand(vm)) {
          return vm;
        }
      }
      Thread.sleep(1);
    }
    throw new IllegalStateException(
        "no leader committed a command within " + MAX_WAIT_SECONDS + " s");
  }

  BenchVm follower(BenchVm leader) {
    return vms.values().stream().filter(vm -> vm != leader).findFirst().orElseThrow();
  }

  /** Waits until every member has applied the leader's current applied index. */
  void awaitReplicated(BenchVm leader) throws InterruptedException {
    long index = leader.call(leader.service::appliedIndex);
    for (BenchVm vm : vms.values()) {
      while (vm.call(vm.service::appliedIndex) < index) {
        Thread.sleep(1);
      }
    }
  }

  private static boolean commitsCommand(BenchVm vm) throws InterruptedException {
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    vm.execute(
        () ->
            vm.service.propose(
                new byte[] {1},
                new ProposalListener() {
                  @Override
                  public void onCommitted(long index, byte[] bytes) {
                    result.complete(true);
                  }

                  @Override
                  public void onNotAppended(String cause) {
                    result.complete(false);
                  }

                  @Override
                  public void onUnknown(String cause) {
                    result.complete(false);
                  }
                }));
    try {
      return result.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      return false;
    }
  }
}
