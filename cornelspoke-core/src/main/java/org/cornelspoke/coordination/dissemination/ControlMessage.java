package org.cornelspoke.coordination.dissemination;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelspoke.model.CallId;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.RequestFingerprint;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.claim.ClaimKey;
import org.cornelspoke.state.claim.ClaimOutcome;
import org.cornelspoke.state.claim.StoredResponse;
import org.cornelspoke.state.config.ConfigEntity;
import org.cornelspoke.state.config.EntityId;
import org.cornelspoke.state.quarantine.CrashReport;
import org.cornelspoke.state.quarantine.QuarantineState;
import org.cornelspoke.state.registry.Target;

/** A message between a daemon and a relay, or between two relays. */
public sealed interface ControlMessage {

  /**
   * First message of a daemon. {@link Revision#NONE} requests the full configuration.
   *
   * @param appliedRevision the configuration revision that the daemon has applied
   */
  record ControlHello(DaemonId daemon, DataCentreId dataCentre, Revision appliedRevision)
      implements ControlMessage {}

  /** First message of a relay that connects to another relay. */
  record PeerHello(VmId vm) implements ControlMessage {}

  /**
   * Replaces the daemon's subscription.
   *
   * @param versions the subscribed services, each with the registry version that the daemon has
   */
  record Subscribe(Map<ServiceName, Long> versions) implements ControlMessage {

    /** Creates a subscription with a copy of the map. */
    public Subscribe {
      versions = Map.copyOf(versions);
    }
  }

  /**
   * Requests the age of the relay's freshness proof and reports the state of the daemon.
   *
   * @param sequence increases with each query of a daemon
   * @param ageNanos age of the daemon's freshness proof; empty if it has none
   */
  record FreshnessQuery(long sequence, Revision appliedRevision, Optional<Long> ageNanos)
      implements ControlMessage {}

  /**
   * Reply to a freshness query. The relay has already sent all changes up to the revision.
   *
   * @param ageNanos time since the relay was last proven current; empty if it never was
   */
  record FreshnessReply(long sequence, Revision revision, Optional<Long> ageNanos)
      implements ControlMessage {}

  /** A chunk of a configuration delta, which is applied atomically with its last chunk. */
  record ConfigDelta(
      Revision from, Revision to, boolean last, List<ConfigEntity> live, List<EntityId> removed)
      implements ControlMessage {}

  /** A chunk of the full configuration, which is applied atomically with its last chunk. */
  record ConfigSnapshot(Revision revision, boolean first, boolean last, List<ConfigEntity> live)
      implements ControlMessage {}

  /**
   * A chunk of a delta of one service's targets, which is applied atomically with its last chunk.
   *
   * @param full whether the delta replaces all targets that the daemon has for the service
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

  /** An encoded message about rate shares. The array must not be modified. */
  @SuppressWarnings("ArrayRecordComponent")
  record ShareEnvelope(byte[] content) implements ControlMessage {}

  /** Requests a claim; the relay stops retrying after the timeout. */
  record ClaimRequest(
      long correlationId, ClaimKey key, CallId attempt, String fingerprintHex, long timeoutMillis)
      implements ControlMessage {}

  /** Reply to a claim request. */
  record ClaimReply(long correlationId, ClaimOutcome outcome) implements ControlMessage {}

  /** Records that a claimed request has completed. */
  record ClaimComplete(
      long correlationId, ClaimKey key, CallId attempt, Optional<StoredResponse> answer)
      implements ControlMessage {}

  /** Releases a claim. */
  record ClaimRelease(long correlationId, ClaimKey key, CallId attempt) implements ControlMessage {}

  /** Confirms that the message with this id is committed and need not be sent again. */
  record ClaimEndReply(long correlationId) implements ControlMessage {}

  /** Requests from another relay the daemons that are attached to it. */
  record StatusQuery(long correlationId) implements ControlMessage {

    /**
     * Only asks for a sign of life, so that the reply names no daemons; earlier builds name them.
     */
    public static final StatusQuery PROBE = new StatusQuery(0);
  }

  /** A chunk of the reply to a status query. */
  record StatusReply(long correlationId, boolean last, List<DaemonStatus> daemons)
      implements ControlMessage {}

  /** Reports to the leader's relay which daemons are attached to the sender. */
  record AttachmentReport(List<DaemonId> daemons) implements ControlMessage {}

  /**
   * Subscribes to the quarantine table: its entries now, and each later change.
   *
   * @param version version of the quarantine table that the daemon has, or 0
   */
  record QuarantineQuery(long version) implements ControlMessage {}

  /**
   * Changes of the quarantine table.
   *
   * @param to version that the daemon has after the update
   * @param full whether the update replaces all that the daemon has
   */
  record QuarantineUpdate(long to, boolean full, List<Item> entries) implements ControlMessage {

    /** Creates a message with a copy of the list. */
    public QuarantineUpdate {
      entries = List.copyOf(entries);
    }

    /**
     * The state of one fingerprint.
     *
     * @param headHash hash of everything in the fingerprint except the body
     */
    public record Item(RequestFingerprint fingerprint, long headHash, QuarantineState state) {}
  }

  /** Reports the crash of an upstream; confirmed by {@link ClaimEndReply}. */
  record CrashObserved(long correlationId, CrashReport report) implements ControlMessage {}

  /** Reports a response to a suspected request; confirmed by {@link ClaimEndReply}. */
  record ResponseObserved(long correlationId, RequestFingerprint fingerprint)
      implements ControlMessage {}

  /**
   * Reports that an upstream process beside the daemon has said that it leaves; confirmed by {@link
   * ClaimEndReply}.
   */
  record ProcessDeparted(long correlationId, String process) implements ControlMessage {}

  /** Subscribes to the departed processes beside the daemon. */
  record DeparturesQuery() implements ControlMessage {}

  /** Replaces the departed processes beside the daemon that it knows from the control group. */
  record Departures(List<String> processes) implements ControlMessage {

    /** Creates a message with a copy of the list. */
    public Departures {
      processes = List.copyOf(processes);
    }
  }

  /**
   * Sends a daemon the relay endpoints of the current control group members.
   *
   * @param acceptsCrashReports whether the relay knows the messages about quarantined requests;
   *     encoded in the correlation id, which earlier versions ignore
   * @param acceptsDepartures whether the relay knows the messages about departed processes; encoded
   *     in the same way. Versions that know only the former take this message as one of a relay
   *     that accepts neither, so a second one must tell them of it.
   */
  record Relays(List<Endpoint> endpoints, boolean acceptsCrashReports, boolean acceptsDepartures)
      implements ControlMessage {

    /** Creates the message of a relay of this version that earlier versions understand. */
    public Relays(List<Endpoint> endpoints) {
      this(endpoints, true, false);
    }

    /** Returns the message that tells that the relay knows departed processes as well. */
    public Relays withDepartures() {
      return new Relays(endpoints, acceptsCrashReports, true);
    }

    /** Creates a message with a copy of the list. */
    public Relays {
      endpoints = List.copyOf(endpoints);
    }
  }
}
