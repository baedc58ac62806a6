package org.cornelspoke.state.machine;

import org.cornelspoke.state.StateMachine;
import org.cornelspoke.state.claim.ClaimTable;
import org.cornelspoke.state.codec.CommandCodec;
import org.cornelspoke.state.codec.ControlCommand;
import org.cornelspoke.state.codec.ControlResult;
import org.cornelspoke.state.codec.SnapshotCodec;
import org.cornelspoke.state.config.ConfigState;
import org.cornelspoke.state.quarantine.QuarantineTable;
import org.cornelspoke.state.registry.Registry;
import org.cornelspoke.util.Assert;

/**
 * Replicated state machine of the control group. Code on the control thread reads {@link #config},
 * {@link #registry} and {@link #claims} directly and must not modify them.
 *
 * <p>A command that cannot be decoded raises an exception instead of returning a result: it was
 * proposed by a newer version, and a replica that skipped it would diverge from the others.
 */
public final class ControlStateMachine implements StateMachine {

  private final ConfigState config = new ConfigState();
  private final Registry registry = new Registry();
  private final ClaimTable claims = new ClaimTable();
  private final QuarantineTable quarantine = new QuarantineTable();
  private Runnable changeListener = () -> {};

  /** Returns the configuration. */
  public ConfigState config() {
    return config;
  }

  /** Returns the target registry. */
  public Registry registry() {
    return registry;
  }

  /** Returns the claim table. */
  public ClaimTable claims() {
    return claims;
  }

  /** Returns the table of requests that have run in crashes of upstreams. */
  public QuarantineTable quarantine() {
    return quarantine;
  }

  /** Sets the callback that runs after a state that daemons receive may have changed. */
  public void setChangeListener(Runnable listener) {
    this.changeListener = Assert.notNull(listener, "listener");
  }

  @Override
  public byte[] apply(long index, byte[] command) {
    ControlCommand decoded = CommandCodec.decode(command);
    byte[] result = CommandCodec.encodeResult(apply(decoded));
    if (decoded instanceof ControlCommand.Change
        || decoded instanceof ControlCommand.RegistryBatch
        || isAboutQuarantine(decoded)) {
      changeListener.run();
    }
    return result;
  }

  @Override
  public byte[] snapshot() {
    return SnapshotCodec.encode(
        new SnapshotCodec.Contents(
            config.snapshot(), registry.snapshot(), claims.snapshot(), quarantine.snapshot()));
  }

  @Override
  public void restore(byte[] snapshot) {
    SnapshotCodec.Contents contents = SnapshotCodec.decode(snapshot);
    config.restore(contents.config());
    registry.restore(contents.registry());
    claims.restore(contents.claims());
    quarantine.restore(contents.quarantine());
    changeListener.run();
  }

  private ControlResult apply(ControlCommand command) {
    if (command instanceof ControlCommand.Change change) {
      return new ControlResult.Changed(config.apply(change.request()));
    }
    if (command instanceof ControlCommand.RegistryBatch batch) {
      return new ControlResult.RegistryVersion(registry.apply(batch.changes()));
    }
    if (command instanceof ControlCommand.PlaceClaim place) {
      return new ControlResult.Claimed(
          claims.claim(
              place.key(), place.attempt(), place.fingerprintHex(), place.timestampMillis()));
    }
    if (command instanceof ControlCommand.CompleteClaim complete) {
      return new ControlResult.ClaimEnded(
          claims.complete(
              complete.key(), complete.attempt(), complete.response(), complete.timestampMillis()));
    }
    if (command instanceof ControlCommand.RecordCrash crash) {
      return new ControlResult.QuarantineChanged(
          quarantine.recordCrash(crash.report(), crash.timestampMillis()));
    }
    if (command instanceof ControlCommand.RecordResponse response) {
      return new ControlResult.QuarantineChanged(
          quarantine.recordResponse(response.fingerprint(), response.timestampMillis()));
    }
    if (command instanceof ControlCommand.ReleaseRequest released) {
      return new ControlResult.QuarantineChanged(
          quarantine.release(
              released.fingerprint(), released.operator(), released.timestampMillis()));
    }
    ControlCommand.ReleaseClaim release = (ControlCommand.ReleaseClaim) command;
    return new ControlResult.ClaimEnded(
        claims.release(release.key(), release.attempt(), release.timestampMillis()));
  }

  private static boolean isAboutQuarantine(ControlCommand command) {
    return command instanceof ControlCommand.RecordCrash
        || command instanceof ControlCommand.RecordResponse
        || command instanceof ControlCommand.ReleaseRequest;
  }
}
