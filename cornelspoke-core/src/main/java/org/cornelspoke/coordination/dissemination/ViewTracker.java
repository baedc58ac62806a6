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
 * The daemon's side of dissemination. Tracks the applied configuration, whose revision never
 * decreases, the time up to which it is proven current, and the relay to use.
 *
 * <p>Not thread-safe; must be used on the control thread only.
 */
public final class ViewTracker {

  /**
   * Fraction of the freshness bound after which the daemon leaves a relay that does not renew its
   * freshness. The remaining time is for connecting to another relay before the view becomes stale.
   */
  private static final double LEAVE_AFTER_FRACTION = 2.0 / 3;

  /**
   * Minimum time at a relay, once a usable one was lost, before the daemon moves to one that it
   * prefers. The actual time is up to twice as long, so that daemons do not all move at once.
   */
  private static final long MIN_STAY_NANOS = 60_000_000_000L;

  /**
   * The same before any relay was lost; doubled with each move. Relays start at different times,
   * and all daemons would stay at the first one.
   */
  private static final long MIN_INITIAL_STAY_NANOS = 2_500_000_000L;

  /**
   * Time without a reply after which the daemon leaves a relay, because a relay on a frozen VM
   * still accepts connections and queries. Long enough for TCP to retransmit a lost segment, which
   * takes 0.2 s or slightly more.
   */
  private static final long REPLY_TIMEOUT_NANOS = 450_000_000L;

  /**
   * Maximum time at a relay without a freshness proof. After a restart of the whole group, no relay
   * has a proof for about this time.
   */
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

  /** Configuration update whose last chunk has not arrived; null if there is none. */
  private Map<EntityId, ConfigEntity> incompleteEntities;

  private Revision incompleteRevision;
  private final Map<ServiceName, Map<TargetId, Target>> incompleteTargets = new HashMap<>();
  private FleetView view = FleetView.EMPTY;
  private boolean viewOutdated;

  /** Send times of the queries without a reply, by sequence number. */
  private final Map<Long, Long> pendingQueries = new LinkedHashMap<>();

  private long lastSequence;
  private Optional<Long> freshAsOfNanos = Optional.empty();
  private Optional<Long> firstConnectedAtNanos = Optional.empty();
  private int currentRelay = -1;
  private boolean connected;
  private boolean relayUnproven;
  private boolean relayUsable;
  private long minStayNanos = MIN_INITIAL_STAY_NANOS;
  private long connectedAtNanos;
  private long requiredStayNanos;

  private record ServiceTargets(long version, Map<TargetId, Target> targets) {}

  /**
   * Creates a tracker without a configuration or a relay.
   *
   * @param relayCount number of relays; they are numbered from 0 in the order of the settings
   * @param configuredServices services to subscribe to; empty for all routed services
   * @param freshnessBoundNanos age of the freshness proof above which a view is stale
   */
  public ViewTracker(
      DaemonId daemon,
      DataCentreId dataCentre,
      int relayCount,
      Set<ServiceName> configuredServices,
      long freshnessBoundNanos,
      RelayOrder relayOrder,
      RandomGenerator random) {
    this.daemon = Assert.notNull(daemon, "daemon");
    this.dataCentre = Assert.notNull(dataCentre, "dataCentre");
    Assert.isTrue(relayCount >= 1, "relayCount must be 1 or more");
    Assert.isTrue(freshnessBoundNanos > 0, "freshnessBoundNanos must be positive");
    this.configuredServices = Set.copyOf(configuredServices);
    this.leaveAfterNanos = (long) (freshnessBoundNanos * LEAVE_AFTER_FRACTION);
    this.random = random;
    this.relaySelector = new RelaySelector(relayCount, relayOrder, random);
  }

  /**
   * Returns the relay to connect to, or empty if there is one already or during the backoff. The
   * caller must report the outcome through {@link #onConnected} or {@link #onDisconnected}.
   */
  public OptionalInt nextRelay(long nowNanos) {
    if (currentRelay >= 0) {
      return OptionalInt.empty();
    }
    currentRelay = relaySelector.next(nowNanos);
    return currentRelay < 0 ? OptionalInt.empty() : OptionalInt.of(currentRelay);
  }

  /** Records a new connection to the relay; returns the messages to send first. */
  public List<ControlMessage> onConnected(long nowNanos) {
    connected = true;
    relayUnproven = false;
    connectedAtNanos = nowNanos;
    firstConnectedAtNanos = firstConnectedAtNanos.or(() -> Optional.of(nowNanos));
    relayUsable = false;
    requiredStayNanos = minStayNanos + random.nextLong(minStayNanos);
    pendingQueries.clear();
    discardIncompleteUpdates();
    return List.of(
        new ControlMessage.ControlHello(daemon, dataCentre, appliedRevision),
        createSubscription(),
        nextQuery(nowNanos));
  }

  /** Sets the number of relays; it never decreases, and new relays are numbered last. */
  public void setRelayCount(int relayCount) {
    relaySelector.setRelayCount(relayCount);
  }

  /** Sets the numbers of the relays of the control group's members; others are former members. */
  public void setMembers(Set<Integer> members) {
    relaySelector.setMembers(members);
  }

  /**
   * Frees the number of a former member's relay for another relay.
   *
   * @return the number, or empty if there is no former member
   */
  public OptionalInt reuseRelay() {
    int former = relaySelector.oldestFormer();
    if (former < 0 || former == currentRelay) {
      return OptionalInt.empty();
    }
    relaySelector.reset(former);
    return OptionalInt.of(former);
  }

  /** Records that the connection failed, was lost, or was closed because the relay is unusable. */
  public void onDisconnected(long nowNanos) {
    if (currentRelay >= 0) {
      relaySelector.onFailure(currentRelay, nowNanos);
    }
    if (relayUsable) {
      minStayNanos = MIN_STAY_NANOS;
    }
    detach();
  }

  /**
   * Returns whether a relay that the daemon prefers may be usable. The caller then closes the
   * connection and calls {@link #onLeftForPreferred} instead of {@link #onDisconnected}.
   */
  public boolean shouldReturnToPreferred(long nowNanos) {
    if (!connected || nowNanos - connectedAtNanos < requiredStayNanos) {
      return false;
    }
    return relaySelector.hasPreferredTo(currentRelay, nowNanos);
  }

  /** Records that the connection to a usable relay was closed in favour of a preferred one. */
  public void onLeftForPreferred() {
    minStayNanos = Math.min(2 * minStayNanos, MIN_STAY_NANOS);
    detach();
  }

  /**
   * Returns whether there is a connection that must be closed because it does not renew freshness.
   */
  public boolean mustLeave(long nowNanos) {
    if (!connected) {
      return false;
    }
    if (!pendingQueries.isEmpty()
        && nowNanos - pendingQueries.values().iterator().next() > REPLY_TIMEOUT_NANOS) {
      return true;
    }
    long freshSinceNanos =
        freshAsOfNanos.isPresent() && freshAsOfNanos.get() - connectedAtNanos > 0
            ? freshAsOfNanos.get()
            : connectedAtNanos;
    return nowNanos - freshSinceNanos > leaveAfterNanos;
  }

  /** Returns whether the relay has replied that it has no freshness proof yet. */
  public boolean isRelayUnproven() {
    return connected && relayUnproven;
  }

  /** Creates the next freshness query and records when it is sent. */
  public ControlMessage.FreshnessQuery nextQuery(long nowNanos) {
    pendingQueries.put(++lastSequence, nowNanos);
    return new ControlMessage.FreshnessQuery(
        lastSequence, appliedRevision, freshAsOfNanos.map(asOf -> nowNanos - asOf));
  }

  /**
   * Applies a message from the current relay.
   *
   * @return false if the relay is unusable and the connection must be closed
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

  /** Returns a view of the applied configuration and targets. */
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

  /** Returns the time up to which the view is proven current, or empty before the first proof. */
  public Optional<Long> freshAsOfNanos() {
    return freshAsOfNanos;
  }

  /**
   * Updates the subscription to the services in the configuration; returns the message to send, or
   * empty if nothing has changed.
   */
  public Optional<ControlMessage.Subscribe> updateSubscription() {
    Set<ServiceName> required = requiredServices();
    if (required.equals(targetsByService.keySet())) {
      return Optional.empty();
    }
    return Optional.of(createSubscription());
  }

  private void detach() {
    currentRelay = -1;
    connected = false;
    relayUsable = false;
    pendingQueries.clear();
    discardIncompleteUpdates();
  }

  private ControlMessage.Subscribe createSubscription() {
    Set<ServiceName> required = requiredServices();
    if (targetsByService.keySet().retainAll(required)) {
      viewOutdated = true;
    }
    required.forEach(
        service -> targetsByService.putIfAbsent(service, new ServiceTargets(0, Map.of())));
    Map<ServiceName, Long> versions = new HashMap<>();
    targetsByService.forEach((service, targets) -> versions.put(service, targets.version()));
    return new ControlMessage.Subscribe(versions);
  }

  private Set<ServiceName> requiredServices() {
    return configuredServices.isEmpty() ? Set.copyOf(view().routedServices()) : configuredServices;
  }

  private boolean applySnapshot(ControlMessage.ConfigSnapshot snapshot) {
    if (!snapshot.revision().isAfter(appliedRevision)) {
      return true;
    }
    if (snapshot.first()) {
      incompleteEntities = new HashMap<>();
      incompleteRevision = snapshot.revision();
    } else if (incompleteEntities == null || !snapshot.revision().equals(incompleteRevision)) {
      return false;
    }
    snapshot.live().forEach(entity -> incompleteEntities.put(entity.entityId(), entity));
    applyIfLastChunk(snapshot.revision(), snapshot.last());
    return true;
  }

  private boolean applyDelta(ControlMessage.ConfigDelta delta) {
    if (!delta.to().isAfter(appliedRevision)) {
      return true;
    }
    if (delta.from().isAfter(appliedRevision) || appliedRevision.equals(Revision.NONE)) {
      return false;
    }
    if (incompleteEntities == null || !delta.to().equals(incompleteRevision)) {
      incompleteEntities = new HashMap<>(entities);
      incompleteRevision = delta.to();
    }
    delta.live().forEach(entity -> incompleteEntities.put(entity.entityId(), entity));
    delta.removed().forEach(incompleteEntities::remove);
    applyIfLastChunk(delta.to(), delta.last());
    return true;
  }

  private void applyIfLastChunk(Revision revision, boolean lastChunk) {
    if (lastChunk) {
      entities = incompleteEntities;
      appliedRevision = revision;
      incompleteEntities = null;
      viewOutdated = true;
    }
  }

  private boolean applyTargets(ControlMessage.RegistryDelta delta) {
    ServiceTargets current = targetsByService.get(delta.service());
    if (current == null || delta.to() < current.version()) {
      return true;
    }
    if (!delta.full() && delta.from() > current.version()) {
      return false;
    }
    Map<TargetId, Target> targets =
        incompleteTargets.computeIfAbsent(
            delta.service(),
            service -> delta.full() ? new HashMap<>() : new HashMap<>(current.targets()));
    delta.live().forEach(target -> targets.put(target.id(), target));
    delta.removed().forEach(targets::remove);
    if (delta.last()) {
      targetsByService.put(delta.service(), new ServiceTargets(delta.to(), targets));
      incompleteTargets.remove(delta.service());
      viewOutdated = true;
    }
    return true;
  }

  private boolean applyFreshness(ControlMessage.FreshnessReply reply, long nowNanos) {
    Long sentAtNanos = pendingQueries.remove(reply.sequence());
    if (sentAtNanos == null) {
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
      // The relay sends all changes up to the revision before its reply, so a change was lost.
      return false;
    }
    if (appliedRevision.isAfter(reply.revision())) {
      // This relay lags behind an earlier one. It may catch up before mustLeave returns true.
      return true;
    }
    long provenAtNanos = sentAtNanos - reply.ageNanos().get();
    if (provenAtNanos - firstConnectedAtNanos.orElseThrow() <= 0) {
      // Before a restart, this daemon may have used a revision that is newer than this proof. A
      // proof from after the restart covers every revision that it can have applied before.
      return true;
    }
    if (freshAsOfNanos.isEmpty() || provenAtNanos - freshAsOfNanos.get() > 0) {
      freshAsOfNanos = Optional.of(provenAtNanos);
    }
    relayUsable = true;
    relaySelector.onSuccess(currentRelay);
    return true;
  }

  private void discardIncompleteUpdates() {
    incompleteEntities = null;
    incompleteTargets.clear();
  }
}
