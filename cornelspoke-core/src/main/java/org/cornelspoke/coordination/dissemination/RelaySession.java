package org.cornelspoke.coordination.dissemination;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.state.registry.Target;

/** The session of an attached daemon, used with the methods of {@link RelaySessions}. */
public final class RelaySession {

  private final DaemonId daemon;
  private final DataCentreId dataCentre;

  /** Configuration revision that the daemon has after it has received all sent messages. */
  Revision sentRevision;

  /** Registry versions per subscribed service after the daemon has received all sent messages. */
  final Map<ServiceName, Long> sentVersions = new HashMap<>();

  /** Announced targets; empty until the daemon sends its first announcement. */
  Optional<Map<TargetId, Target>> announcedTargets = Optional.empty();

  /**
   * Version of the quarantine table after the daemon has received all sent messages, if it asks.
   */
  OptionalLong sentQuarantineVersion = OptionalLong.empty();

  /** Departed processes that the daemon knows, if it asks. */
  Optional<List<String>> sentDepartures = Optional.empty();

  Revision appliedRevision;
  Optional<Long> freshAsOfNanos = Optional.empty();
  long lastMessageAtNanos;

  RelaySession(ControlMessage.ControlHello hello, long nowNanos) {
    this.daemon = hello.daemon();
    this.dataCentre = hello.dataCentre();
    this.sentRevision = hello.appliedRevision();
    this.appliedRevision = hello.appliedRevision();
    this.lastMessageAtNanos = nowNanos;
  }

  /** Returns the id of the daemon. */
  public DaemonId daemon() {
    return daemon;
  }

  /** Returns the data centre of the daemon. */
  public DataCentreId dataCentre() {
    return dataCentre;
  }

  void setAnnouncedTargets(Iterable<Target> targets) {
    Map<TargetId, Target> targetsById = new LinkedHashMap<>();
    targets.forEach(target -> targetsById.put(target.id(), target));
    announcedTargets = Optional.of(targetsById);
  }
}
