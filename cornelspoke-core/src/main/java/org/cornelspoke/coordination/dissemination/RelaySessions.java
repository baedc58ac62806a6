package org.cornelspoke.coordination.dissemination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.config.ConfigState;
import org.cornelspoke.state.quarantine.QuarantineEntry;
import org.cornelspoke.state.quarantine.QuarantineTable;
import org.cornelspoke.state.registry.Registry;
import org.cornelspoke.state.registry.RegistryChange;
import org.cornelspoke.state.registry.Target;
import org.cornelspoke.util.Assert;

/**
 * The relay's side of dissemination. Tracks the attached daemons, what has been sent to each of
 * them, and the age of the relay's own freshness proof.
 *
 * <p>Daemons that need the same update get the same message objects, so that the caller can encode
 * each message once. Not thread-safe; must be used on the control thread only.
 */
public final class RelaySessions {

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final VmId vm;
  private final ConfigState config;
  private final Registry registry;
  private final Map<DaemonId, RelaySession> sessions = new LinkedHashMap<>();
  private final Map<Revision, List<ControlMessage>> configUpdates = new HashMap<>();
  private final Map<VersionKey, List<ControlMessage>> registryUpdates = new HashMap<>();
  private final QuarantineTable quarantine;
  private final Map<Long, List<ControlMessage>> quarantineUpdates = new HashMap<>();
  private long cachedQuarantineVersion = -1;
  private Revision cachedRevision = Revision.NONE;
  private long cachedVersion = -1;
  private Optional<Long> freshAsOfNanos = Optional.empty();

  private record VersionKey(ServiceName service, long from) {}

  /** Creates an instance without sessions that sends updates from the relay's applied state. */
  public RelaySessions(VmId vm, ConfigState config, Registry registry, QuarantineTable quarantine) {
    this.quarantine = Assert.notNull(quarantine, "quarantine");
    this.vm = Assert.notNull(vm, "vm");
    this.config = Assert.notNull(config, "config");
    this.registry = Assert.notNull(registry, "registry");
  }

  /** Creates a session for a daemon; it replaces an earlier session of the same daemon. */
  public RelaySession attach(ControlMessage.ControlHello hello, long nowNanos) {
    RelaySession session = new RelaySession(hello, nowNanos);
    sessions.remove(hello.daemon());
    sessions.put(hello.daemon(), session);
    return session;
  }

  /** Removes a session; returns false if a later one has replaced it. */
  public boolean detach(RelaySession session) {
    return sessions.remove(session.daemon(), session);
  }

  /** Returns the session of a daemon, or empty if the daemon is not attached. */
  public Optional<RelaySession> session(DaemonId daemon) {
    return Optional.ofNullable(sessions.get(daemon));
  }

  /** Returns a copy of all sessions. */
  public Collection<RelaySession> sessions() {
    return List.copyOf(sessions.values());
  }

  /** Records that a message from the daemon has arrived. */
  public void recordMessage(RelaySession session, long nowNanos) {
    session.lastMessageAtNanos = nowNanos;
  }

  /** Returns the sessions without a message for longer than the timeout. */
  public List<RelaySession> silentSessions(long timeoutNanos, long nowNanos) {
    return sessions.values().stream()
        .filter(session -> nowNanos - session.lastMessageAtNanos > timeoutNanos)
        .toList();
  }

  /** Replaces the subscription of a daemon. */
  public void subscribe(RelaySession session, ControlMessage.Subscribe subscribe) {
    session.sentVersions.clear();
    session.sentVersions.putAll(subscribe.versions());
  }

  /** Starts to send changes of the quarantine table to a daemon. */
  public void subscribeQuarantine(RelaySession session, ControlMessage.QuarantineQuery query) {
    session.sentQuarantineVersion = OptionalLong.of(query.version());
  }

  /** Starts to send a daemon the departed processes beside it. */
  public void subscribeDepartures(RelaySession session) {
    session.sentDepartures = Optional.of(List.of());
  }

  /** Replaces the announced targets of a daemon. Targets of other daemons are ignored. */
  public void announce(RelaySession session, ControlMessage.Announce announce) {
    session.setAnnouncedTargets(
        announce.targets().stream()
            .filter(target -> target.daemon().equals(session.daemon()))
            .toList());
  }

  /** Removes targets from the announced targets of a daemon. */
  public void withdraw(RelaySession session, ControlMessage.Withdraw withdraw) {
    session.announcedTargets.ifPresent(targets -> targets.keySet().removeAll(withdraw.targets()));
  }

  /**
   * Returns the messages that bring the daemon up to the applied state, and marks them as sent. The
   * result is empty for a daemon that is ahead of this relay.
   */
  public List<ControlMessage> takePendingUpdates(RelaySession session) {
    List<ControlMessage> messages = new ArrayList<>();
    Revision revision = config.revision();
    if (revision.isAfter(session.sentRevision)) {
      messages.addAll(configUpdate(session.sentRevision));
      session.sentRevision = revision;
    }
    long version = registry.version();
    session.sentVersions.replaceAll(
        (service, from) -> {
          // Keep the version of an unchanged service: nothing is sent, and the daemon would take a
          // delta that starts at a later version for a gap.
          if (version <= from || (from > 0 && !registry.hasChanged(service, from))) {
            return from;
          }
          messages.addAll(registryUpdate(service, from));
          return version;
        });
    messages.addAll(quarantineUpdate(session));
    if (session.sentDepartures.isPresent()) {
      List<String> departed = registry.departedProcesses(session.daemon());
      if (!departed.equals(session.sentDepartures.get())) {
        session.sentDepartures = Optional.of(departed);
        messages.add(new ControlMessage.Departures(departed));
      }
    }
    return messages;
  }

  /**
   * Records that the relay has applied everything committed up to the given time.
   *
   * @param requestedAtNanos when the relay requested the read index
   */
  public void confirmCurrent(long requestedAtNanos) {
    if (freshAsOfNanos.isEmpty() || requestedAtNanos - freshAsOfNanos.get() > 0) {
      freshAsOfNanos = Optional.of(requestedAtNanos);
    }
  }

  /** Returns the time since the relay was last proven current, or empty if it never was. */
  public Optional<Long> freshnessAgeNanos(long nowNanos) {
    return freshAsOfNanos.map(asOf -> nowNanos - asOf);
  }

  /** Handles a freshness query; returns the pending updates, followed by the reply. */
  public List<ControlMessage> handleQuery(
      RelaySession session, ControlMessage.FreshnessQuery query, long nowNanos) {
    session.appliedRevision = query.appliedRevision();
    session.freshAsOfNanos = query.ageNanos().map(age -> nowNanos - age);
    List<ControlMessage> messages = new ArrayList<>(takePendingUpdates(session));
    messages.add(
        new ControlMessage.FreshnessReply(
            query.sequence(), config.revision(), freshnessAgeNanos(nowNanos)));
    return messages;
  }

  /**
   * Returns the changes that make the registry match the announcements of attached daemons. Changes
   * are returned until they are applied, so a lost proposal is proposed again.
   *
   * @param sessionTimeoutNanos sessions without a message for longer than this are skipped, because
   *     their daemon may have announced other targets to another relay
   */
  public List<RegistryChange> registryChanges(long sessionTimeoutNanos, int limit, long nowNanos) {
    List<RegistryChange> changes = new ArrayList<>();
    for (RelaySession session : sessions.values()) {
      if (session.announcedTargets.isPresent()
          && nowNanos - session.lastMessageAtNanos <= sessionTimeoutNanos) {
        addChanges(session, changes);
      }
      if (changes.size() >= limit) {
        return List.copyOf(changes.subList(0, limit));
      }
    }
    return changes;
  }

  /** Returns the states of the attached daemons. */
  public List<DaemonStatus> daemonStatuses(long nowNanos) {
    return sessions.values().stream()
        .map(
            session ->
                new DaemonStatus(
                    session.daemon(),
                    session.dataCentre(),
                    vm,
                    session.appliedRevision,
                    session.freshAsOfNanos.map(asOf -> (nowNanos - asOf) / NANOS_PER_MILLI)))
        .toList();
  }

  private void addChanges(RelaySession session, List<RegistryChange> changes) {
    var announced = session.announcedTargets.orElseThrow();
    for (Target target : announced.values()) {
      Optional<Target> registered = registry.target(target.id());
      boolean ownedByOtherDaemon =
          registered.isPresent() && !registered.get().daemon().equals(session.daemon());
      if (!ownedByOtherDaemon && !registered.equals(Optional.of(target))) {
        changes.add(new RegistryChange.Register(target));
      }
    }
    for (Target target : registry.targetsOf(session.daemon())) {
      if (!announced.containsKey(target.id())) {
        changes.add(new RegistryChange.Remove(target.id(), session.daemon()));
      }
    }
  }

  private List<ControlMessage> quarantineUpdate(RelaySession session) {
    if (session.sentQuarantineVersion.isEmpty()
        || session.sentQuarantineVersion.getAsLong() >= quarantine.version()) {
      return List.of();
    }
    long from = session.sentQuarantineVersion.getAsLong();
    session.sentQuarantineVersion = OptionalLong.of(quarantine.version());
    if (cachedQuarantineVersion != quarantine.version()) {
      quarantineUpdates.clear();
      cachedQuarantineVersion = quarantine.version();
    }
    return quarantineUpdates.computeIfAbsent(
        from, version -> List.of(createQuarantineUpdate(version)));
  }

  private ControlMessage createQuarantineUpdate(long from) {
    boolean full = quarantine.needsFullUpdate(from);
    return new ControlMessage.QuarantineUpdate(
        quarantine.version(),
        full,
        quarantine.changesAfter(full ? 0 : from).stream().map(RelaySessions::toItem).toList());
  }

  private static ControlMessage.QuarantineUpdate.Item toItem(QuarantineEntry entry) {
    return new ControlMessage.QuarantineUpdate.Item(
        entry.fingerprint(), entry.request().headHash(), entry.state());
  }

  private List<ControlMessage> configUpdate(Revision from) {
    if (!cachedRevision.equals(config.revision())) {
      configUpdates.clear();
      cachedRevision = config.revision();
    }
    return configUpdates.computeIfAbsent(from, f -> UpdateChunker.toMessages(config.updateFrom(f)));
  }

  private List<ControlMessage> registryUpdate(ServiceName service, long from) {
    if (cachedVersion != registry.version()) {
      registryUpdates.clear();
      cachedVersion = registry.version();
    }
    return registryUpdates.computeIfAbsent(
        new VersionKey(service, from),
        key -> UpdateChunker.toMessages(registry.updateFrom(key.service(), key.from())));
  }
}
