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

/** Some services on free loopback ports in one JVM. */
final class BenchGroup {

  private static final long WAIT_SECONDS = 120;

  private final Path folder;
  private final int entriesBetweenSnapshots;
  private final Map<VmId, Endpoint> addresses = new TreeMap<>(BenchGroup::compare);
  private final Map<VmId, BenchVm> vms = new TreeMap<>(BenchGroup::compare);

  BenchGroup(Path folder, int size, int entriesBetweenSnapshots)
      throws IOException, InterruptedException {
    this.folder = folder;
    this.entriesBetweenSnapshots = entriesBetweenSnapshots;
    List<ServerSocket> reserved = new ArrayList<>();
    for (int i = 1; i <= size; i++) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      reserved.add(socket);
      addresses.put(new VmId("control-" + i), new Endpoint("127.0.0.1", socket.getLocalPort()));
    }
    for (ServerSocket socket : reserved) {
      socket.close();
    }
    for (VmId vmId : addresses.keySet()) {
      start(vmId);
    }
  }

  private static int compare(VmId a, VmId b) {
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

  /** Waits for a leader whose term commits a command. */
  BenchVm awaitLeader() throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
    while (System.nanoTime() < end) {
      for (BenchVm vm : vms.values()) {
        boolean leads = vm.call(vm.service::isLeader);
        if (leads && commits(vm)) {
          return vm;
        }
      }
      Thread.sleep(1);
    }
    throw new IllegalStateException("no leader within " + WAIT_SECONDS + " s");
  }

  BenchVm follower(BenchVm leader) {
    return vms.values().stream().filter(vm -> vm != leader).findFirst().orElseThrow();
  }

  /** Waits until all members have applied the same index. */
  void awaitEqual(BenchVm leader) throws InterruptedException {
    long index = leader.call(leader.service::appliedIndex);
    for (BenchVm vm : vms.values()) {
      while (vm.call(vm.service::appliedIndex) < index) {
        Thread.sleep(1);
      }
    }
  }

  private static boolean commits(BenchVm vm) throws InterruptedException {
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
      return result.get(WAIT_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      return false;
    }
  }
}
