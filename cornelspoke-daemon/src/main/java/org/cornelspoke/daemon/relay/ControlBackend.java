package org.cornelspoke.daemon.relay;

import io.activej.promise.Promise;
import io.activej.reactor.Reactor;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.cornelspoke.coordination.consensus.RaftSettings;
import org.cornelspoke.coordination.consensus.ReplicatedLog;
import org.cornelspoke.coordination.dissemination.DaemonStatus;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.RequestFingerprint;
import org.cornelspoke.model.RequestId;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.codec.CommandCodec;
import org.cornelspoke.state.codec.ControlCommand;
import org.cornelspoke.state.codec.ControlResult;
import org.cornelspoke.state.config.AuditEntry;
import org.cornelspoke.state.config.ChangeRequest;
import org.cornelspoke.state.config.ChangeResult;
import org.cornelspoke.state.config.ConfigChange;
import org.cornelspoke.state.config.ConfigState;
import org.cornelspoke.state.config.ContextSecret;
import org.cornelspoke.state.config.Operator;
import org.cornelspoke.state.machine.ControlStateMachine;
import org.cornelspoke.state.registry.RegistrySnapshot;
import org.cornelspoke.state.registry.Target;
import org.cornelspoke.util.Assert;

/**
 * Provides the administration API with access to the control group, from any of its members.
 *
 * <p>Must be used on the control thread only; promises also complete there.
 */
public final class ControlBackend {

  private static final int SECRET_BYTES = 32;
  private static final int BOOTSTRAP_ID_BYTES = 8;
  private static final int ORDER_ID_BYTES = 16;

  private final RetryingLog retryingLog;
  private final ControlStateMachine machine;
  private final RelayServer relay;
  private final LongSupplier nanoClock;
  private final LongSupplier wallClockMillis;
  private final SecureRandom random = new SecureRandom();

  /** Creates a backend that uses the system clocks. */
  public ControlBackend(
      Reactor reactor, ReplicatedLog log, ControlStateMachine machine, RelayServer relay) {
    this(reactor, log, machine, relay, System::nanoTime, System::currentTimeMillis);
  }

  /** Creates a backend that uses the given clocks. */
  public ControlBackend(
      Reactor reactor,
      ReplicatedLog log,
      ControlStateMachine machine,
      RelayServer relay,
      LongSupplier nanoClock,
      LongSupplier wallClockMillis) {
    this.retryingLog = new RetryingLog(reactor, log, nanoClock);
    this.machine = Assert.notNull(machine, "machine");
    this.relay = Assert.notNull(relay, "relay");
    this.nanoClock = nanoClock;
    this.wallClockMillis = wallClockMillis;
  }

  /**
   * Submits a change and retries it with the same request id until its outcome is known.
   *
   * @param deadlineNanos monotonic time after which the promise fails with {@link
   *     ProposalFailedException}, which tells whether the change may still be accepted
   * @throws IllegalArgumentException if the change or one of its texts exceeds the size limit of a
   *     command; the change has no effect
   */
  public Promise<ChangeResult> submit(ChangeRequest request, long deadlineNanos) {
    byte[] command = CommandCodec.encode(new ControlCommand.Change(request));
    Assert.isTrue(
        command.length <= RaftSettings.MAX_COMMAND_BYTES,
        "the change is too large: %d bytes when compressed, at most %d"
            .formatted(command.length, RaftSettings.MAX_COMMAND_BYTES));
    return retryingLog
        .propose(command, deadlineNanos)
        .map(result -> ((ControlResult.Changed) CommandCodec.decodeResult(result)).result());
  }

  /**
   * Submits an order that has no request id and no further effect if it is accepted again. Each
   * attempt depends on the revision on which it is based: an attempt that is delayed, for example
   * in the queue of a frozen leader, can't override a later change.
   *
   * @param deadlineNanos monotonic time after which the promise fails with {@link
   *     ProposalFailedException}, or completes with a conflict if changes kept overtaking it
   */
  public Promise<ChangeResult> submitOrder(
      OperatorId operator, ConfigChange order, long deadlineNanos) {
    return submitOrder(operator, order, machine.config().revision(), deadlineNanos);
  }

  private Promise<ChangeResult> submitOrder(
      OperatorId operator, ConfigChange order, Revision base, long deadlineNanos) {
    ChangeRequest request =
        new ChangeRequest(
            new RequestId("order-" + randomHex(ORDER_ID_BYTES)),
            operator,
            Optional.of(base),
            wallClockMillis.getAsLong(),
            order);
    return submit(request, deadlineNanos)
        .then(
            result ->
                result instanceof ChangeResult.Conflict conflict
                        && deadlineNanos - nanoClock.getAsLong() > 0
                    ? submitOrder(operator, order, conflict.current(), deadlineNanos)
                    : Promise.of(result));
  }

  /**
   * Releases a request that is refused because it crashes upstreams.
   *
   * @param deadlineNanos monotonic time after which the promise fails with {@link
   *     ProposalFailedException}
   * @return true if the request was suspected or refused
   */
  public Promise<Boolean> release(
      RequestFingerprint fingerprint, OperatorId operator, long deadlineNanos) {
    ControlCommand command =
        new ControlCommand.ReleaseRequest(fingerprint, operator, wallClockMillis.getAsLong());
    return retryingLog
        .propose(CommandCodec.encode(command), deadlineNanos)
        .map(
            result ->
                ((ControlResult.QuarantineChanged) CommandCodec.decodeResult(result)).changed());
  }

  /** Reads the current configuration. May fail with {@link ReadNotConfirmedException}. */
  public Promise<ConfigReadResult> readConfig(long deadlineNanos) {
    return retryingLog
        .confirmCurrent(deadlineNanos)
        .map(
            current -> {
              ConfigState config = machine.config();
              return new ConfigReadResult(
                  config.revision(), config.activePreset(), config.entities());
            });
  }

  /**
   * Reads audit entries, oldest first. May fail with {@link ReadNotConfirmedException}.
   *
   * @param afterSequence sequence number before the first entry to return; 0 starts at the oldest
   *     retained entry
   */
  public Promise<List<AuditEntry>> readAudit(long afterSequence, int limit, long deadlineNanos) {
    return retryingLog
        .confirmCurrent(deadlineNanos)
        .map(current -> machine.config().audit(afterSequence, limit));
  }

  /** Returns the operator with the token hash from the applied state, which may not be current. */
  public Optional<Operator> findOperatorByTokenHash(String tokenHashHex) {
    return operators().filter(operator -> operator.tokenHashHex().equals(tokenHashHex)).findAny();
  }

  /** Returns the registered targets from the applied state, which may not be current. */
  public List<Target> targets() {
    return machine.registry().targets().stream()
        .map(RegistrySnapshot.Entry::target)
        .flatMap(Optional::stream)
        .toList();
  }

  /** Returns the attached daemons of this relay and of all others that reply within the timeout. */
  public Promise<DaemonListing> daemons(long timeoutMillis) {
    return relay
        .queryPeerDaemons(timeoutMillis)
        .map(
            repliesByRelay -> {
              List<DaemonStatus> daemons = new ArrayList<>(relay.attachedDaemons());
              repliesByRelay.values().forEach(daemons::addAll);
              Set<VmId> missingRelays = new HashSet<>(relay.peerIds());
              missingRelays.removeAll(repliesByRelay.keySet());
              return new DaemonListing(daemons, missingRelays);
            });
  }

  /**
   * Creates the first operator and the first context secret if they are missing. Several members
   * may do so concurrently: each change is conditional on the revision that was read, so only one
   * of them is accepted, and the other members then read its result.
   */
  public Promise<Void> bootstrap(Operator firstOperator, long deadlineNanos) {
    return retryingLog
        .confirmCurrent(deadlineNanos)
        .then(
            current -> {
              Optional<ConfigChange> change = nextBootstrapChange(firstOperator);
              if (change.isEmpty()) {
                return Promise.complete();
              }
              return submit(createRequest(firstOperator.id(), change.get()), deadlineNanos)
                  .then(
                      result ->
                          result instanceof ChangeResult.Rejected rejected
                              ? Promise.ofException(new IllegalStateException(rejected.rule()))
                              : bootstrap(firstOperator, deadlineNanos));
            });
  }

  private Optional<ConfigChange> nextBootstrapChange(Operator firstOperator) {
    if (operators().findAny().isEmpty()) {
      return Optional.of(new ConfigChange.SetOperator(firstOperator));
    }
    boolean hasSecret =
        machine.config().entities().stream().anyMatch(ContextSecret.class::isInstance);
    if (hasSecret) {
      return Optional.empty();
    }
    return Optional.of(new ConfigChange.RotateContextSecret(randomHex(SECRET_BYTES)));
  }

  private String randomHex(int sizeBytes) {
    byte[] bytes = new byte[sizeBytes];
    random.nextBytes(bytes);
    return HexFormat.of().formatHex(bytes);
  }

  private ChangeRequest createRequest(OperatorId firstOperatorId, ConfigChange change) {
    Revision revision = machine.config().revision();
    // The operator from the settings may have been replaced by others in the meantime.
    OperatorId operator =
        operators()
            .map(Operator::id)
            .filter(firstOperatorId::equals)
            .findAny()
            .or(() -> operators().map(Operator::id).findFirst())
            .orElse(firstOperatorId);
    return new ChangeRequest(
        new RequestId("bootstrap-" + randomHex(BOOTSTRAP_ID_BYTES)),
        operator,
        Optional.of(revision),
        wallClockMillis.getAsLong(),
        change);
  }

  private Stream<Operator> operators() {
    return machine.config().entities().stream()
        .filter(Operator.class::isInstance)
        .map(Operator.class::cast);
  }
}
