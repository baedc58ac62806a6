package org.cornelspoke.daemon.consensus;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cornelspoke.coordination.consensus.RaftSettings;
import org.cornelspoke.coordination.consensus.ReplicatedLog.ProposalListener;
import org.cornelspoke.coordination.consensus.ReplicatedLog.ReadListener;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.StateMachine;

/** Runs a ConsensusService on its own event loop thread and records the applied commands. */
final class RunningVm {

  /** Snapshots every 20 entries, so that a restart reads a snapshot and a log. */
  static final ConsensusSettings SETTINGS =
      new ConsensusSettings(RaftSettings.DEFAULT, 20, 1000, 5_000);

  /** Fails a test whose outcome never arrives. */
  private static final long WAIT_TIMEOUT_SECONDS = 30;

  final VmId vmId;
  final List<String> state = new ArrayList<>();
  int duplicates;
  int unknownOutcomes;
  final FaultyDisk.FaultControl faults;
  final MetricRegistry metrics = new MetricRegistry();
  final CompletableFuture<Throwable> failure = new CompletableFuture<>();
  volatile boolean applyFails;
  private final Eventloop reactor = Eventloop.create();
  private final Thread thread;
  final ConsensusService service;

  RunningVm(VmId vmId, Path folder, Map<VmId, Endpoint> addresses) throws Exception {
    this(vmId, folder, addresses, SETTINGS);
  }

  RunningVm(VmId vmId, Path folder, Map<VmId, Endpoint> addresses, FaultyDisk.FaultControl faults)
      throws Exception {
    this(vmId, folder, addresses, SETTINGS, faults);
  }

  RunningVm(VmId vmId, Path folder, Map<VmId, Endpoint> addresses, ConsensusSettings settings)
      throws Exception {
    this(vmId, folder, addresses, settings, new FaultyDisk.FaultControl());
  }

  private RunningVm(
      VmId vmId,
      Path folder,
      Map<VmId, Endpoint> addresses,
      ConsensusSettings settings,
      FaultyDisk.FaultControl faults)
      throws Exception {
    this.vmId = vmId;
    this.faults = faults;
    reactor.keepAlive(true);
    this.thread = new Thread(reactor, vmId + "-control");
    thread.setDaemon(true);
    ConsensusServiceBuilder builder =
        ConsensusService.builder(reactor)
            .withVm(vmId, addresses.get(vmId))
            .withDataFolder(folder)
            .withStateMachine(new ListState())
            .withDiskOpener(path -> FaultyDisk.open(path, faults))
            .withMetrics(metrics)
            .withFailureListener(failure::complete)
            .withSettings(settings);
    addresses.forEach(
        (id, address) -> {
          if (!id.equals(vmId)) {
            builder.withPeer(id, address);
          }
        });
    this.service = builder.build();
    thread.start();
    reactor.submit(service::start).get(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  void stop() throws Exception {
    faults.setStalled(false);
    reactor.submit(service::stop).get(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    service.awaitStopped();
    reactor.execute(reactor::breakEventloop);
    thread.join();
  }

  <T> T call(Callable<T> action) throws Exception {
    CompletableFuture<T> result = new CompletableFuture<>();
    reactor.execute(
        () -> {
          try {
            result.complete(action.call());
          } catch (Exception e) {
            result.completeExceptionally(e);
          }
        });
    return result.get(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /** Returns "committed RESULT", "not-appended" or "unknown". */
  String propose(String command) throws Exception {
    return outcome(listener -> service.propose(command.getBytes(UTF_8), listener));
  }

  /** Runs an operation of the service and returns its outcome. */
  String outcome(Consumer<ProposalListener> operation) throws Exception {
    CompletableFuture<String> result = new CompletableFuture<>();
    reactor.execute(
        () ->
            operation.accept(
                new ProposalListener() {
                  @Override
                  public void onCommitted(long index, byte[] bytes) {
                    result.complete("committed " + new String(bytes, UTF_8));
                  }

                  @Override
                  public void onNotAppended(String cause) {
                    result.complete("not-appended");
                  }

                  @Override
                  public void onUnknown(String cause) {
                    result.complete("unknown");
                  }
                }));
    return result.get(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /**
   * Proposes until the command is committed. Only a command with an unknown outcome may be in the
   * log when it is proposed again.
   */
  String proposeUntilCommitted(String command) throws Exception {
    for (int i = 0; i < 3000; i++) {
      String outcome = propose(command);
      if (outcome.startsWith("committed")) {
        return outcome;
      }
      unknownOutcomes += outcome.equals("unknown") ? 1 : 0;
      Thread.sleep(10);
    }
    return "gave up";
  }

  /** Reads the state after a confirmed read index; retries while reads are unavailable. */
  List<String> readCurrent() throws Exception {
    for (int i = 0; i < 3000; i++) {
      CompletableFuture<List<String>> result = new CompletableFuture<>();
      reactor.execute(
          () ->
              service.readIndex(
                  new ReadListener() {
                    @Override
                    public void onCurrent(long index) {
                      result.complete(List.copyOf(state));
                    }

                    @Override
                    public void onUnavailable(String cause) {
                      result.complete(null);
                    }
                  }));
      List<String> read = result.get(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
      if (read != null) {
        return read;
      }
      Thread.sleep(10);
    }
    throw new IllegalStateException("no read was confirmed");
  }

  private final class ListState implements StateMachine {

    @Override
    public byte[] apply(long index, byte[] command) {
      if (applyFails) {
        throw new UncheckedIOException(new IOException("simulated read failure"));
      }
      String text = new String(command, UTF_8);
      if (state.contains(text)) {
        duplicates++;
      } else {
        state.add(text);
      }
      return ("#" + (state.indexOf(text) + 1)).getBytes(UTF_8);
    }

    @Override
    public byte[] snapshot() {
      return String.join("\n", state).getBytes(UTF_8);
    }

    @Override
    public void restore(byte[] snapshot) {
      state.clear();
      state.addAll(List.of(new String(snapshot, UTF_8).split("\n", -1)));
    }
  }
}
