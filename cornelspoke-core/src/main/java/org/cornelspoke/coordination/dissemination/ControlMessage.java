package org.cornelspoke.coordination.dissemination;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelspoke.model.CallId;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.claim.ClaimKey;
import org.cornelspoke.state.claim.ClaimOutcome;
import org.cornelspoke.state.claim.StoredResponse;
import org.cornelspoke.state.config.ConfigEntity;
import org.cornelspoke.state.config.EntityId;
import org.cornelspoke.state.registry.Target;

/** A message between a daemon and a relay, or between two relays. */
public sealed interface ControlMessage {

  /** First message of a daemon. {@link Revision#NONE} asks for the full configuration. */
  record ControlHello(DaemonId daemon, DataCentreId dataCentre, Revision applied)
      implements ControlMessage {}

  /** First message of another relay. */
  record PeerHello(VmId vm) implements ControlMessage {}

  /** Replaces the services that the daemon wants, each with the registry version that it has. */
  record Subscribe(Map<ServiceName, Long> versions) implements ControlMessage {

    /** Copies the map. */
    public Subscribe {
      versions = Map.copyOf(versions);
    }
  }

  /**
   * Asks for the relay's age, and tells the relay about the daemon.
   *
   * @param sequence grows with each query of a daemon
   * @param ageNanos age of the daemon's proof of freshness, empty if it has none
   */
  record FreshnessQuery(long sequence, Revision applied, Optional<Long> ageNanos)
      implements ControlMessage {}

  /**
   * Answer to a query. Everything up to the revision has been sent before it.
   *
   * @param ageNanos time since the relay was proved to be current, empty if it never was
   */
  record FreshnessReply(long sequence, Revision revision, Optional<Long> ageNanos)
      implements ControlMessage {}

  /** Part of a configuration delta; it takes effect as a whole with the last part. */
  record ConfigDelta(
      Revision from, Revision to, boolean last, List<ConfigEntity> live, List<EntityId> removed)
      implements ControlMessage {}

  /** Part of the full configuration; it takes effect as a whole with the last part. */
  record ConfigSnapshot(Revision revision, boolean first, boolean last, List<ConfigEntity> live)
      implements ControlMessage {}

  /**
   * Part of a delta of one service's targets; it takes effect as a whole with the last part.
   *
   * @param full true if the targets replace all that the daemon has of the service
   */
  record RegistryDelta(
      ServiceName service,
      long from,
      long to,
      boolean full,
      boolean last,
      List<Target> live,
      List<TargetId> removed)
      implements ControlMessage {}

  /** Replaces the targets that the daemon has announced. */
  record Announce(List<Target> targets) implements ControlMessage {}

  /** Removes targets from those that the daemon has announced. */
  record Withdraw(List<TargetId> targets) implements ControlMessage {}

  /** A message about rate shares, opaque here. The array must not be changed. */
  @SuppressWarnings("ArrayRecordComponent")
  record ShareEnvelope(byte[] content) implements ControlMessage {}

  /** Asks for a claim; the relay gives up after the timeout. */
  record ClaimRequest(
      long correlation, ClaimKey key, CallId attempt, String fingerprintHex, long timeoutMillis)
      implements ControlMessage {}

  /** Answer to a claim. */
  record ClaimReply(long correlation, ClaimOutcome outcome) implements ControlMessage {}

  /** Records that a claimed request has run. */
  record ClaimComplete(
      long correlation, ClaimKey key, CallId attempt, Optional<StoredResponse> answer)
      implements ControlMessage {}

  /** Gives up a claim. */
  record ClaimRelease(long correlation, ClaimKey key, CallId attempt) implements ControlMessage {}

  /** Says that a completion or release is in the log and need not be sent again. */
  record ClaimEndReply(long correlation) implements ControlMessage {}

  /** Asks another relay for the daemons that are attached to it. */
  record StatusQuery(long correlation) implements ControlMessage {}

  /** Part of the answer to a status query. */
  record StatusReply(long correlation, boolean last, List<DaemonStatus> daemons)
      implements ControlMessage {}

  /** Tells the leader's relay which daemons are attached to the sender. */
  record AttachmentReport(List<DaemonId> daemons) implements ControlMessage {}

  /** Tells a daemon where the relays of the present members of the control group are. */
  record Relays(List<Endpoint> endpoints) implements ControlMessage {

    /** Copies the list. */
    public Relays {
      endpoints = List.copyOf(endpoints);
    }
  }
}
