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
import org.cornelspoke.coordination.consensus.ReplicatedLog;
import org.cornelspoke.coordination.dissemination.DaemonStatus;
import org.cornelspoke.model.OperatorId;
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
 * What the administration API needs of the control group, on any of its members.
 *
 * <p>Belongs to the control thread; every method must be called there, and promises complete there.
 */
public final class ControlBackend {

  private static final int SECRET_BYTES = 32;

  private final RetryingLog retryingLog;
  private final ControlStateMachine machine;
  private final RelayServer relay;
  private final LongSupplier wallClockMillis;
  private final SecureRandom random = new SecureRandom();

  /** Creates a back end with the system's clocks. */
  public ControlBackend(
      Reactor reactor, ReplicatedLog log, ControlStateMachine machine, RelayServer relay) {
    this(reactor, log, machine, relay, System::nanoTime, System::currentTimeMillis);
  }

  /** Creates a back end. */
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
    this.wallClockMillis = wallClockMillis;
  }

  /**
   * Submits a change and repeats it, with the same request id, until its outcome is known.
   *
   * @param deadlineNanos monotonic time after which the promise fails with {@link
   *     ProposalFailedException}, which says whether the change may still be accepted
   * @throws IllegalArgumentException if a text of the change is longer than a command may hold
   */
  public Promise<ChangeResult> submit(ChangeRequest request, long deadlineNanos) {
    return retryingLog
        .propose(CommandCodec.encode(new ControlCommand.Change(request)), deadlineNanos)
        .map(result -> ((ControlResult.Changed) CommandCodec.decodeResult(result)).result());
  }

  /** Reads the current configuration; fails with {@link UnavailableException}. */
  public Promise<ConfigReading> readConfig(long deadlineNanos) {
    return retryingLog
        .readCurrent(deadlineNanos)
        .map(
            current -> {
              ConfigState config = machine.config();
              return new ConfigReading(config.revision(), config.activePreset(), config.entities());
            });
  }

  /**
   * Reads audit entries, oldest first; fails with {@link UnavailableException}.
   *
   * @param afterSequence 0 for the oldest kept entry
   */
  public Promise<List<AuditEntry>> readAudit(long afterSequence, int limit, long deadlineNanos) {
    return retryingLog
        .readCurrent(deadlineNanos)
        .map(current -> machine.config().audit(afterSequence, limit));
  }

  /**
   * Returns the operator with the token, from the applied state without proof that it is current.
   */
  public Optional<Operator> operatorWithToken(String tokenHashHex) {
    return operators().filter(operator -> operator.tokenHashHex().equals(tokenHashHex)).findAny();
  }

  /** Returns the registered targets, from the applied state without proof that it is current. */
  public List<Target> targets() {
    return machine.registry().targets().stream()
        .map(RegistrySnapshot.Entry::target)
        .flatMap(Optional::stream)
        .toList();
  }

  /** Returns the attached daemons of this and, if they answer in time, the other relays. */
  public Promise<DaemonListing> daemons(long timeoutMillis) {
    return relay
        .peerDaemons(timeoutMillis)
        .map(
            answers -> {
              List<DaemonStatus> all = new ArrayList<>(relay.attachedDaemons());
              answers.values().forEach(all::addAll);
              Set<VmId> missing = new HashSet<>(relay.peerIds());
              missing.removeAll(answers.keySet());
              return new DaemonListing(all, missing);
            });
  }

  /**
   * Creates the first operator and the first context secret where they are missing. Several members
   * may do so at once: each change is based on the revision that was read, so one of them wins and
   * the others see what it did.
   */
  public Promise<Void> bootstrap(Operator first, long deadlineNanos) {
    return retryingLog
        .readCurrent(deadlineNanos)
        .then(
            current -> {
              Optional<ConfigChange> missing = missing(first);
              if (missing.isEmpty()) {
                return Promise.complete();
              }
              return submit(request(first.id(), missing.get()), deadlineNanos)
                  .then(
                      result ->
                          result instanceof ChangeResult.Rejected rejected
                              ? Promise.ofException(new IllegalStateException(rejected.rule()))
                              : bootstrap(first, deadlineNanos));
            });
  }

  private Optional<ConfigChange> missing(Operator first) {
    if (operators().findAny().isEmpty()) {
      return Optional.of(new ConfigChange.SetOperator(first));
    }
    boolean hasSecret =
        machine.config().entities().stream().anyMatch(ContextSecret.class::isInstance);
    if (hasSecret) {
      return Optional.empty();
    }
    byte[] secret = new byte[SECRET_BYTES];
    random.nextBytes(secret);
    return Optional.of(new ConfigChange.RotateContextSecret(HexFormat.of().formatHex(secret)));
  }

  private ChangeRequest request(OperatorId first, ConfigChange change) {
    Revision revision = machine.config().revision();
    // The operator of the settings may have been replaced by others since.
    OperatorId operator =
        operators()
            .map(Operator::id)
            .filter(first::equals)
            .findAny()
            .or(() -> operators().map(Operator::id).findFirst())
            .orElse(first);
    byte[] suffix = new byte[8];
    random.nextBytes(suffix);
    return new ChangeRequest(
        new RequestId("bootstrap-" + HexFormat.of().formatHex(suffix)),
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
