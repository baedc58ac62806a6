package org.cornelspoke.daemon.relay;

import java.util.Collection;
import java.util.List;
import java.util.function.LongSupplier;
import org.cornelspoke.coordination.consensus.ReplicatedLog;
import org.cornelspoke.coordination.dissemination.AttachmentTracker;
import org.cornelspoke.coordination.dissemination.RelaySessions;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.state.codec.CommandCodec;
import org.cornelspoke.state.codec.ControlCommand;
import org.cornelspoke.state.registry.Registry;
import org.cornelspoke.state.registry.RegistryChange;

/**
 * Proposes registry changes in batches, one batch at a time. A failed batch is not retried; the
 * next one is computed from the registry's state at that time.
 */
final class RegistryWriter {

  /** Keeps a batch well below the maximum frame size of 1 MiB. */
  private static final int MAX_BATCH_SIZE = 1_000;

  private final ReplicatedLog log;
  private final Registry registry;
  private final RelaySessions sessions;
  private final AttachmentTracker attachmentTracker;
  private final long sessionTimeoutNanos;
  private final LongSupplier nanoClock;
  private boolean batchInFlight;
  private boolean expiryInFlight;

  RegistryWriter(
      ReplicatedLog log,
      Registry registry,
      RelaySessions sessions,
      AttachmentTracker attachmentTracker,
      long sessionTimeoutNanos,
      LongSupplier nanoClock) {
    this.log = log;
    this.registry = registry;
    this.sessions = sessions;
    this.attachmentTracker = attachmentTracker;
    this.sessionTimeoutNanos = sessionTimeoutNanos;
    this.nanoClock = nanoClock;
  }

  /** Proposes the changes that attached daemons have announced. */
  void proposeAnnouncedTargets() {
    if (batchInFlight) {
      return;
    }
    List<RegistryChange> changes =
        sessions.registryChanges(sessionTimeoutNanos, MAX_BATCH_SIZE, nanoClock.getAsLong());
    if (!changes.isEmpty()) {
      batchInFlight = true;
      propose(changes, () -> batchInFlight = false);
    }
  }

  /** On the leader, proposes to remove targets whose daemon is no longer attached to any relay. */
  void removeExpiredTargets(Collection<DaemonId> localDaemons) {
    if (!log.isLeader()) {
      attachmentTracker.stopLeading();
      return;
    }
    attachmentTracker.startLeading(log.term(), nanoClock.getAsLong());
    attachmentTracker.markAttached(localDaemons, nanoClock.getAsLong());
    if (expiryInFlight
        || attachmentTracker.expiredTargets(registry, nanoClock.getAsLong()).isEmpty()) {
      return;
    }
    expiryInFlight = true;
    long term = log.term();
    // A leader that was replaced during a network partition has received no reports, and its
    // proposals are forwarded once it learns of the new leader. Confirm leadership first.
    log.readIndex(
        new ReplicatedLog.ReadListener() {
          @Override
          public void onCurrent(long index) {
            expiryInFlight = false;
            if (log.isLeader() && log.term() == term) {
              proposeExpired();
            }
          }

          @Override
          public void onUnavailable(String cause) {
            expiryInFlight = false;
          }
        });
  }

  private void proposeExpired() {
    List<RegistryChange> removals =
        attachmentTracker.expiredTargets(registry, nanoClock.getAsLong());
    if (!removals.isEmpty()) {
      expiryInFlight = true;
      propose(
          removals.subList(0, Math.min(MAX_BATCH_SIZE, removals.size())),
          () -> expiryInFlight = false);
    }
  }

  private void propose(List<RegistryChange> changes, Runnable onDone) {
    log.propose(
        CommandCodec.encode(new ControlCommand.RegistryBatch(changes)),
        new ReplicatedLog.ProposalListener() {
          @Override
          public void onCommitted(long index, byte[] result) {
            onDone.run();
          }

          @Override
          public void onNotAppended(String cause) {
            onDone.run();
          }

          @Override
          public void onUnknown(String cause) {
            onDone.run();
          }
        });
  }
}
