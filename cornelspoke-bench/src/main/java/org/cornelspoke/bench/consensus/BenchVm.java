package org.cornelspoke.bench.consensus;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.cornelspoke.coordination.consensus.RaftSettings;
import org.cornelspoke.daemon.consensus.ConsensusService;
import org.cornelspoke.daemon.consensus.ConsensusServiceBuilder;
import org.cornelspoke.daemon.consensus.ConsensusSettings;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.StateMachine;
import org.cornelspoke.transport.loop.EventLoopMonitor;
import org.cornelspoke.transport.loop.EventLoops;

/** A consensus service with its own event loop thread. */
final class BenchVm {

  private static final long REQUEST_TIMEOUT_MILLIS = 60_000;
  private static final long SEGMENT_BYTES = 16 << 20;

  final VmId vmId;
  final MetricRegistry metrics = new MetricRegistry();
  final ConsensusService service;
  private final Eventloop reactor =
      EventLoops.builder(new EventLoopMonitor("bench-vm", metrics)).build();
  private final Thread thread;

  BenchVm(VmId vmId, Path folder, Map<VmId, Endpoint> addresses, int entriesBetweenSnapshots)
      throws InterruptedException {
    this.vmId = vmId;
    reactor.keepAlive(true);
    this.thread = new Thread(reactor, vmId + "-control");
    thread.setDaemon(true);
    ConsensusServiceBuilder builder =
        ConsensusService.builder(reactor)
            .withVm(vmId, addresses.get(vmId))
            .withDataFolder(folder)
            .withStateMachine(new FixedSizeState())
            .withMetrics(metrics)
            .withSettings(
                new ConsensusSettings(
                    RaftSettings.DEFAULT,
                    entriesBetweenSnapshots,
                    SEGMENT_BYTES,
                    REQUEST_TIMEOUT_MILLIS));
    addresses.forEach(
        (id, address) -> {
          if (!id.equals(vmId)) {
            builder.withPeer(id, address);
          }
        });
    this.service = builder.build();
    thread.start();
    call(
        () -> {
          service.start();
          return true;
        });
  }

  void stop() throws InterruptedException {
    call(
        () -> {
          service.stop();
          return true;
        });
    service.awaitStopped();
    reactor.execute(reactor::breakEventloop);
    thread.join();
  }

  /** Runs an action on the service's thread without waiting for it. */
  void execute(Runnable action) {
    reactor.execute(action);
  }

  /** Runs an action on the service's thread and waits for its result. */
  <T> T call(Callable<T> action) throws InterruptedException {
    CompletableFuture<T> result = new CompletableFuture<>();
    reactor.execute(
        () -> {
          try {
            result.complete(action.call());
          } catch (Exception e) {
            result.completeExceptionally(e);
          }
        });
    try {
      return result.get();
    } catch (ExecutionException e) {
      throw new IllegalStateException(e.getCause());
    }
  }

  /** State machine of 1,000 slots of 64 bytes each, which gives snapshots a fixed size. */
  private static final class FixedSizeState implements StateMachine {
    private static final int SLOTS = 1000;
    private static final int SLOT_BYTES = 64;

    private final byte[] slots = new byte[SLOTS * SLOT_BYTES];

    @Override
    public byte[] apply(long index, byte[] command) {
      int offset = (int) (index % SLOTS) * SLOT_BYTES;
      System.arraycopy(command, 0, slots, offset, Math.min(command.length, SLOT_BYTES));
      return ByteBuffer.allocate(Long.BYTES).putLong(index).array();
    }

    @Override
    public byte[] snapshot() {
      return slots.clone();
    }

    @Override
    public void restore(byte[] snapshot) {
      System.arraycopy(snapshot, 0, slots, 0, slots.length);
    }
  }
}
