package org.cornelspoke.coordination.dissemination;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.state.config.ConfigEntity;
import org.cornelspoke.state.config.EntityId;
import org.cornelspoke.state.registry.Target;
import org.cornelspoke.state.view.FleetView;
import org.cornelspoke.util.Assert;

/**
 * The daemon's side of dissemination: the applied configuration, which only moves up, the time up
 * to which it is proved to be current, and the choice of the relay.
 *
 * <p>Not safe for use by several threads; the control thread owns it.
 */
public final class ViewTracker {

  /**
   * Part of the freshness bound after which the daemon leaves a relay that does not renew its
   * freshness. The rest is left for reaching another relay before the bound ends.
   */
  private static final double LEAVE_AFTER_FRACTION = 2.0 / 3;

  /**
   * Shortest stay at a relay before the daemon returns to one that the settings name earlier. The
   * actual stay is up to twice as long, so that daemons do not return all at once.
   */
  private static final long MIN_STAY_NANOS = 60_000_000_000L;

  /**
   * A relay on a frozen VM accepts connections and queries and answers nothing. TCP repeats a lost
   * segment after 0.2 s or a little more.
   */
  private static final long REPLY_TIMEOUT_NANOS = 450_000_000L;

  /** After a restart of the whole group, no relay has proof for about this time. */
  private static final long UNPROVEN_RELAY_TIMEOUT_NANOS = 1_000_000_000L;

  private final DaemonId daemon;
  private final DataCentreId dataCentre;
  private final long leaveAfterNanos;
  private final RelaySelector relaySelector;
  private final Set<ServiceName> configuredServices;
  private final RandomGenerator random;

  private Map<EntityId, ConfigEntity> entities = new HashMap<>();
  private Revision appliedRevision = Revision.NONE;
  private final Map<ServiceName, ServiceTargets> targetsByService = new HashMap<>();
  private Map<EntityId, ConfigEntity> partialEntities;
  private Revision partialRevision;
  private final Map<ServiceName, Map<TargetId, Target>> partialTargets = new HashMap<>();
  private FleetView view = FleetView.EMPTY;
  private boolean viewOutdated;

  private final Map<Long, Long> pendingQueries = new LinkedHashMap<>();
  private long lastSequence;
  private Optional<Long> freshAsOfNanos = Optional.empty();
  private Optional<Long> firstConnectedAtNanos = Optional.empty();
  private int currentRelay = -1;
  private boolean connected;
  private boolean relayUnproven;
  private long connectedAtNanos;
  private long requiredStayNanos;

  private record ServiceTargets(long version, Map<TargetId, Target> targets) {}

  /**
   * Creates a tracker without configuration and relay.
   *
   * @param relayCount number of relays; they are numbered from 0 in the order of the settings
   * @param configuredServices services whose targets are wanted; empty for every routed service
   * @param freshnessBoundNanos age at which a view counts as stale
   */
  public ViewTracker(
      DaemonId daemon,
      DataCentreId dataCentre,
      int relayCount,
      Set<ServiceName> configuredServices,
      long freshnessBoundNanos,
      RandomGenerator random) {
    this.daemon = Assert.notNull(daemon, "daemon");
    this.dataCentre = Assert.notNull(dataCentre, "dataCentre");
    Assert.isTrue(relayCount >= 1, "relayCount must be 1 or more");
    Assert.isTrue(freshnessBoundNanos > 0, "freshnessBoundNanos must be positive");
    this.configuredServices = Set.copyOf(configuredServices);
    this.leaveAfterNanos = (long) (freshnessBoundNanos * LEAVE_AFTER_FRACTION);
    this.random = random;
    this.relaySelector = new RelaySelector(relayCount, random);
  }

  /**
   * Returns the relay to connect to, or empty if there is a connection or the backoff lasts. The
   * caller must report the outcome by {@link #onConnected} or {@link #onDisconnected}.
   */
  public OptionalInt nextRelay(long nowNanos) {
    if (currentRelay >= 0) {
      return OptionalInt.empty();
    }
    currentRelay = relaySelector.next(nowNanos);
    return currentRelay < 0 ? OptionalInt.empty() : OptionalInt.of(currentRelay);
  }

  /** Returns the first messages for a relay that has just been reached. */
  public List<ControlMessage> onConnected(long nowNanos) {
    connected = true;
    relayUnproven = false;
    connectedAtNanos = nowNanos;
    firstConnectedAtNanos = firstConnectedAtNanos.or(() -> Optional.of(nowNanos));
    requiredStayNanos = MIN_STAY_NANOS + random.nextLong(MIN_STAY_NANOS);
    pendingQueries.clear();
    discardPartialUpdates();
    return List.of(
        new ControlMessage.ControlHello(daemon, dataCentre, appliedRevision),
        subscription(),
        nextQuery(nowNanos));
  }

  /** Sets the number of relays; new ones are numbered after those that are known. */
  public void setRelayCount(int relayCount) {
    relaySelector.setRelayCount(relayCount);
  }

  /** Notes that the relay was not reached, was lost, or was left. */
  public void onDisconnected(long nowNanos) {
    if (currentRelay >= 0) {
      relaySelector.onFailure(currentRelay, nowNanos);
    }
    detach();
  }

  /**
   * Returns true if a relay that the settings name earlier may be usable again. The caller then
   * closes the connection and calls {@link #onLeftForPreferred} instead of {@link #onDisconnected}.
   */
  public boolean shouldReturnToPreferred(long nowNanos) {
    if (!connected || nowNanos - connectedAtNanos < requiredStayNanos) {
      return false;
    }
    int preferred = relaySelector.next(nowNanos);
    return preferred >= 0 && preferred < currentRelay;
  }

  /** Notes that a usable relay was left for a preferred one. */
  public void onLeftForPreferred() {
    detach();
  }

  /** Returns true if there is a connection that does not keep the daemon fresh. */
  public boolean mustLeave(long nowNanos) {
    if (!connected) {
      return false;
    }
    if (!pendingQueries.isEmpty()
        && nowNanos - pendingQueries.values().iterator().next() > REPLY_TIMEOUT_NANOS) {
      return true;
    }
    long since =
        freshAsOfNanos.isPresent() && freshAsOfNanos.get() - connectedAtNanos > 0
            ? freshAsOfNanos.get()
            : connectedAtNanos;
    return nowNanos - since > leaveAfterNanos;
  }

  /** Returns true if the relay has answered that it has no proof of its own yet. */
  public boolean isRelayUnproven() {
    return connected && relayUnproven;
  }

  /** Returns the next freshness query. */
  public ControlMessage.FreshnessQuery nextQuery(long nowNanos) {
    pendingQueries.put(++lastSequence, nowNanos);
    return new ControlMessage.FreshnessQuery(
        lastSequence, appliedRevision, freshAsOfNanos.map(asOf -> nowNanos - asOf));
  }

  /**
   * Applies a message of the current relay.
   *
   * @return false if the relay is unusable and must be left
   */
  public boolean receive(ControlMessage message, long nowNanos) {
    if (message instanceof ControlMessage.ConfigSnapshot snapshot) {
      return applySnapshot(snapshot);
    }
    if (message instanceof ControlMessage.ConfigDelta delta) {
      return applyDelta(delta);
    }
    if (message instanceof ControlMessage.RegistryDelta delta) {
      return applyTargets(delta);
    }
    if (message instanceof ControlMessage.FreshnessReply reply) {
      return applyFreshness(reply, nowNanos);
    }
    return true;
  }

  /** Returns the view of what has been applied. */
  public FleetView view() {
    if (viewOutdated) {
      viewOutdated = false;
      Map<ServiceName, List<Target>> targets = new HashMap<>();
      targetsByService.forEach((name, s) -> targets.put(name, List.copyOf(s.targets().values())));
      view = new FleetView(appliedRevision, entities.values(), targets);
    }
    return view;
  }

  /** Returns the applied entities by id. */
  Map<EntityId, ConfigEntity> entities() {
    return entities;
  }

  /** Returns the time up to which the view is proved to be current. */
  public Optional<Long> freshAsOfNanos() {
    return freshAsOfNanos;
  }

  /**
   * Returns a new subscription if the configuration names other services than those that are
   * subscribed to.
   */
  public Optional<ControlMessage.Subscribe> updateSubscription() {
    Set<ServiceName> wanted = wantedServices();
    if (wanted.equals(targetsByService.keySet())) {
      return Optional.empty();
    }
    return Optional.of(subscription());
  }

  private void detach() {
    currentRelay = -1;
    connected = false;
    pendingQueries.clear();
    discardPartialUpdates();
  }

  private ControlMessage.Subscribe subscription() {
    Set<ServiceName> wanted = wantedServices();
    if (targetsByService.keySet().retainAll(wanted)) {
      viewOutdated = true;
    }
    wanted.forEach(
        service -> targetsByService.putIfAbsent(service, new ServiceTargets(0, Map.of())));
    Map<ServiceName, Long> versions = new HashMap<>();
    targetsByService.forEach((service, targets) -> versions.put(service, targets.version()));
    return new ControlMessage.Subscribe(versions);
  }

  private Set<ServiceName> wantedServices() {
    return configuredServices.isEmpty() ? Set.copyOf(view().routedServices()) : configuredServices;
  }

  private boolean applySnapshot(ControlMessage.ConfigSnapshot snapshot) {
    if (!snapshot.revision().isAfter(appliedRevision)) {
      return true;
    }
    if (snapshot.first()) {
      partialEntities = new HashMap<>();
      partialRevision = snapshot.revision();
    } else if (partialEntities == null || !snapshot.revision().equals(partialRevision)) {
      return false;
    }
    snapshot.live().forEach(entity -> partialEntities.put(entity.entityId(), entity));
    finishConfig(snapshot.revision(), snapshot.last());
    return true;
  }

  private boolean applyDelta(ControlMessage.ConfigDelta delta) {
    if (!delta.to().isAfter(appliedRevision)) {
      return true;
    }
    if (delta.from().isAfter(appliedRevision) || appliedRevision.equals(Revision.NONE)) {
      return false;
    }
    if (partialEntities == null || !delta.to().equals(partialRevision)) {
      partialEntities = new HashMap<>(entities);
      partialRevision = delta.to();
    }
    delta.live().forEach(entity -> partialEntities.put(entity.entityId(), entity));
    delta.removed().forEach(partialEntities::remove);
    finishConfig(delta.to(), delta.last());
    return true;
  }

  private void finishConfig(Revision revision, boolean last) {
    if (last) {
      entities = partialEntities;
      appliedRevision = revision;
      partialEntities = null;
      viewOutdated = true;
    }
  }

  private boolean applyTargets(ControlMessage.RegistryDelta delta) {
    ServiceTargets known = targetsByService.get(delta.service());
    if (known == null || delta.to() < known.version()) {
      return true;
    }
    if (!delta.full() && delta.from() > known.version()) {
      return false;
    }
    Map<TargetId, Target> targets =
        partialTargets.computeIfAbsent(
            delta.service(), s -> delta.full() ? new HashMap<>() : new HashMap<>(known.targets()));
    delta.live().forEach(target -> targets.put(target.id(), target));
    delta.removed().forEach(targets::remove);
    if (delta.last()) {
      targetsByService.put(delta.service(), new ServiceTargets(delta.to(), targets));
      partialTargets.remove(delta.service());
      viewOutdated = true;
    }
    return true;
  }

  private boolean applyFreshness(ControlMessage.FreshnessReply reply, long nowNanos) {
    Long askedAt = pendingQueries.remove(reply.sequence());
    if (askedAt == null) {
      return true;
    }
    pendingQueries.keySet().removeIf(older -> older < reply.sequence());
    relayUnproven = reply.ageNanos().isEmpty();
    if (relayUnproven) {
      return nowNanos - connectedAtNanos <= UNPROVEN_RELAY_TIMEOUT_NANOS;
    }
    if (reply.ageNanos().get() > leaveAfterNanos) {
      return false;
    }
    if (reply.revision().isAfter(appliedRevision)) {
      // Everything up to the revision was sent before, so something is missing here.
      return false;
    }
    if (appliedRevision.isAfter(reply.revision())) {
      // The relay lags behind another one. It may catch up before mustLeave says otherwise.
      return true;
    }
    long asOf = askedAt - reply.ageNanos().get();
    if (asOf - firstConnectedAtNanos.orElseThrow() <= 0) {
      // An earlier process of this daemon may have served by a revision that is newer than this
      // proof. A proof from after the start covers all that the earlier process can have applied.
      return true;
    }
    if (freshAsOfNanos.isEmpty() || asOf - freshAsOfNanos.get() > 0) {
      freshAsOfNanos = Optional.of(asOf);
    }
    relaySelector.onSuccess(currentRelay);
    return true;
  }

  private void discardPartialUpdates() {
    partialEntities = null;
    partialTargets.clear();
  }
}
