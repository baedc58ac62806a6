package org.cornelspoke.coordination.dissemination;

import static com.google.common.truth.Truth.assertThat;
import static org.cornelspoke.state.config.RandomChanges.hex;
import static org.cornelspoke.state.config.RandomChanges.key;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.config.ConfigChange;
import org.cornelspoke.state.config.ConfigEntity;
import org.cornelspoke.state.config.ConfigState;
import org.cornelspoke.state.config.EntityId;
import org.cornelspoke.state.config.RandomChanges;
import org.cornelspoke.state.quarantine.QuarantineTable;
import org.cornelspoke.state.registry.Registry;
import org.cornelspoke.state.registry.RegistryChange;
import org.cornelspoke.state.registry.Target;
import org.cornelspoke.state.registry.TargetState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests relays and a daemon in virtual time; messages arrive immediately and in order. */
class DisseminationTest {

  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long FRESHNESS_BOUND_NANOS = 3_000 * NANOS_PER_MILLI;
  private static final ServiceName SERVICE = new ServiceName("s0");

  private final Relay first = new Relay("vm1");
  private final Relay second = new Relay("vm2");
  private final ViewTracker daemon = tracker(Set.of(SERVICE));
  private Relay attachedTo;
  private RelaySession session;
  private long nowNanos = 1_000 * NANOS_PER_MILLI;
  private int sequence;

  /** A relay that lags behind must not move a daemon back to an earlier revision. */
  @Test
  void laggingRelayDoesNotRevertTheRevision() {
    change(new ConfigChange.CreateAccount(RandomChanges.account("a", 1)), first, second);
    change(new ConfigChange.CreateAccount(RandomChanges.account("b", 1)), first);
    attach(first);
    Revision applied = daemon.view().revision();
    moveTo(second);
    second.sessions.confirmCurrent(nowNanos);
    assertThat(exchange(daemon.nextQuery(nowNanos))).isTrue();

    assertThat(daemon.view().revision()).isEqualTo(applied);
    assertThat(daemon.view().account(new AccountId("b"))).isNotEqualTo(Optional.empty());
    ControlMessage.ConfigSnapshot outdated =
        new ControlMessage.ConfigSnapshot(second.config.revision(), true, true, List.of());
    assertThat(daemon.receive(outdated, nowNanos)).isTrue();
    assertThat(daemon.view().revision()).isEqualTo(applied);
  }

  /**
   * A restarted daemon must not use an older revision than before the restart. A relay whose proof
   * is still within the freshness bound may lack changes that another relay sent before the
   * restart.
   */
  @Test
  void proofFromBeforeTheRestartIsIgnored() {
    second.sessions.confirmCurrent(nowNanos);
    nowNanos += 100 * NANOS_PER_MILLI;
    change(new ConfigChange.CreateAccount(RandomChanges.account("a", 1)), first);
    nowNanos += 100 * NANOS_PER_MILLI;
    attachWithoutExchange(second);
    nowNanos += 100 * NANOS_PER_MILLI;
    assertThat(exchange(daemon.nextQuery(nowNanos))).isTrue();
    assertThat(daemon.freshAsOfNanos()).isEqualTo(Optional.empty());
    nowNanos += 100 * NANOS_PER_MILLI;
    second.sessions.confirmCurrent(nowNanos);
    exchange(daemon.nextQuery(nowNanos));
    assertThat(daemon.freshAsOfNanos()).isEqualTo(Optional.of(nowNanos));
  }

  /** A lagging relay must not renew the daemon's freshness, so the daemon must leave it. */
  @Test
  void laggingRelayRenewsNoFreshnessAndIsLeft() {
    change(new ConfigChange.CreateAccount(RandomChanges.account("a", 1)), first);
    attach(first);
    long freshAsOfNanos = daemon.freshAsOfNanos().orElseThrow();
    moveTo(second);
    for (int i = 0; i < 10; i++) {
      nowNanos += 100 * NANOS_PER_MILLI;
      second.sessions.confirmCurrent(nowNanos);
      exchange(daemon.nextQuery(nowNanos));
    }
    assertThat(daemon.freshAsOfNanos()).isEqualTo(Optional.of(freshAsOfNanos));
    nowNanos += FRESHNESS_BOUND_NANOS;
    assertThat(daemon.mustLeave(nowNanos)).isTrue();
  }

  /**
   * A relay without a quorum can't prove that it is current. The daemon must leave it and reach the
   * other relay before its view becomes stale.
   */
  @Test
  void relayWithoutQuorumIsLeftWithinTheBound() {
    attach(first);
    long lastFreshAtNanos = daemon.freshAsOfNanos().orElseThrow();
    boolean leavesRelay = false;
    while (!leavesRelay) {
      nowNanos += 100 * NANOS_PER_MILLI;
      leavesRelay = !exchange(daemon.nextQuery(nowNanos)) || daemon.mustLeave(nowNanos);
      assertThat(daemon.freshAsOfNanos()).isEqualTo(Optional.of(lastFreshAtNanos));
    }
    assertThat(nowNanos - lastFreshAtNanos).isLessThan(FRESHNESS_BOUND_NANOS);
    moveTo(second);
    second.sessions.confirmCurrent(nowNanos);
    exchange(daemon.nextQuery(nowNanos));
    assertThat(nowNanos - lastFreshAtNanos).isLessThan(FRESHNESS_BOUND_NANOS);
    assertThat(daemon.freshAsOfNanos()).isEqualTo(Optional.of(nowNanos));
  }

  /** A daemon must also leave a relay that stops replying, as in a network partition. */
  @Test
  void silentRelayIsLeftWithinTheBound() {
    attach(first);
    long lastFreshAtNanos = daemon.freshAsOfNanos().orElseThrow();
    while (!daemon.mustLeave(nowNanos)) {
      nowNanos += 100 * NANOS_PER_MILLI;
      daemon.nextQuery(nowNanos);
    }
    assertThat(nowNanos - lastFreshAtNanos).isLessThan(FRESHNESS_BOUND_NANOS);
  }

  /**
   * A relay on a frozen VM accepts the connection but never replies. The daemon must leave it long
   * before the freshness bound ends.
   */
  @Test
  void relayThatNeverAnswersIsLeftSoon() {
    attach(first);
    moveTo(second);
    long attachedAtNanos = nowNanos;
    while (!daemon.mustLeave(nowNanos)) {
      nowNanos += 50 * NANOS_PER_MILLI;
      daemon.nextQuery(nowNanos);
    }
    assertThat(nowNanos - attachedAtNanos).isAtMost(FRESHNESS_BOUND_NANOS / 4);
  }

  /** A daemon must leave a frozen relay soon, because it gets no rate shares in the meantime. */
  @Test
  void relayThatStopsAnsweringIsLeftSoon() {
    attach(first);
    long lastFreshAtNanos = daemon.freshAsOfNanos().orElseThrow();
    for (int tick = 0; !daemon.mustLeave(nowNanos); tick++) {
      nowNanos += 50 * NANOS_PER_MILLI;
      if (tick % 4 == 3) {
        daemon.nextQuery(nowNanos);
      }
    }
    assertThat(nowNanos - lastFreshAtNanos).isAtMost(FRESHNESS_BOUND_NANOS / 4);
  }

  /**
   * After a restart of the whole group, no relay has a freshness proof yet. Daemons must wait for
   * it instead of switching relays repeatedly.
   */
  @Test
  void relayWithoutProofIsKeptForALimitedTime() {
    attachWithoutExchange(first);
    nowNanos += 100 * NANOS_PER_MILLI;
    assertThat(exchange(daemon.nextQuery(nowNanos))).isTrue();
    assertThat(daemon.isRelayUnproven()).isTrue();
    nowNanos += 100 * NANOS_PER_MILLI;
    first.sessions.confirmCurrent(nowNanos);
    assertThat(exchange(daemon.nextQuery(nowNanos))).isTrue();
    assertThat(daemon.isRelayUnproven()).isFalse();
    assertThat(daemon.freshAsOfNanos()).isEqualTo(Optional.of(nowNanos));

    moveTo(second);
    nowNanos += 1_200 * NANOS_PER_MILLI;
    assertThat(exchange(daemon.nextQuery(nowNanos))).isFalse();
  }

  /** Freshness must count from the time of the daemon's query, not from that of the reply. */
  @Test
  void freshnessCountsFromTheQueryAndTheRelaysAge() {
    attach(first);
    nowNanos += 1_000 * NANOS_PER_MILLI;
    first.sessions.confirmCurrent(nowNanos);
    nowNanos += 50 * NANOS_PER_MILLI;
    ControlMessage.FreshnessQuery query = daemon.nextQuery(nowNanos);
    long queriedAtNanos = nowNanos;
    nowNanos += 300 * NANOS_PER_MILLI;
    List<ControlMessage> replies = first.sessions.handleQuery(session, query, nowNanos);
    nowNanos += 200 * NANOS_PER_MILLI;
    replies.forEach(message -> daemon.receive(message, nowNanos));
    assertThat(daemon.freshAsOfNanos())
        .isEqualTo(Optional.of(queriedAtNanos - 350 * NANOS_PER_MILLI));
  }

  /** A restarted daemon must not count as fresh before it has received the configuration. */
  @Test
  void restartedDaemonIsNotFreshBeforeItHasTheConfiguration() {
    attachWithoutExchange(first);
    ControlMessage.FreshnessReply early =
        new ControlMessage.FreshnessReply(1, first.config.revision(), Optional.of(0L));
    assertThat(daemon.receive(early, nowNanos)).isFalse();
    assertThat(daemon.freshAsOfNanos()).isEqualTo(Optional.empty());
  }

  /** A withdrawn key must not be accepted after the delta is applied. */
  @Test
  void withdrawnKeyIsUnknownAfterTheDelta() {
    change(new ConfigChange.CreateAccount(RandomChanges.account("a", 1)), first);
    change(new ConfigChange.GiveKey(key("k", "a", 7)), first);
    attach(first);
    assertThat(daemon.view().accountOfKey(hex(7))).isNotEqualTo(Optional.empty());
    change(new ConfigChange.WithdrawKey(key("k", "a", 7).id()), first);
    deliver(first.sessions.takePendingUpdates(session));
    assertThat(daemon.view().accountOfKey(hex(7))).isEqualTo(Optional.empty());
  }

  /** A daemon that moves between relays must not miss a change or keep a removed entry. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void daemonEqualsItsRelayThroughRandomMoves(long seed) {
    Random random = new Random(seed);
    RandomChanges changes = new RandomChanges(seed);
    attach(first);
    for (int step = 0; step < 400; step++) {
      nowNanos += 10 * NANOS_PER_MILLI;
      var change = changes.next();
      var batch = List.of(randomTarget(random));
      first.config.apply(change);
      first.registry.apply(batch);
      second.config.apply(change);
      second.registry.apply(batch);
      if (random.nextInt(20) == 0) {
        moveTo(attachedTo == first ? second : first);
      }
      if (random.nextInt(3) == 0) {
        deliver(attachedTo.sessions.takePendingUpdates(session));
        assertThat(entities(daemon)).isEqualTo(expectedEntities(attachedTo.config));
        assertThat(Set.copyOf(daemon.view().targets(SERVICE)))
            .isEqualTo(Set.copyOf(attachedTo.registry.updateFrom(SERVICE, 0).live()));
      }
    }
  }

  /** A large configuration must be split into chunks and must not be applied partially. */
  @Test
  void largeConfigurationIsAppliedWithItsLastChunk() {
    change(new ConfigChange.CreateAccount(RandomChanges.account("a", 1)), first);
    for (int i = 0; i < 5_000; i++) {
      change(new ConfigChange.GiveKey(key("k" + i, "a", i)), first);
    }
    attachWithoutExchange(first);
    List<ControlMessage> chunks = first.sessions.takePendingUpdates(session);
    assertThat(chunks.size()).isGreaterThan(2);
    chunks.subList(0, chunks.size() - 1).forEach(chunk -> daemon.receive(chunk, nowNanos));
    assertThat(daemon.view().revision()).isEqualTo(Revision.NONE);
    daemon.receive(chunks.get(chunks.size() - 1), nowNanos);
    assertThat(daemon.view().revision()).isEqualTo(first.config.revision());
    assertThat(entities(daemon)).isEqualTo(expectedEntities(first.config));
  }

  /** A daemon must detect a gap between deltas and leave the relay that caused it. */
  @Test
  void deltaAfterAGapIsRefused() {
    attach(first);
    Revision applied = daemon.view().revision();
    Revision gap = applied.next();
    ControlMessage delta =
        new ControlMessage.ConfigDelta(gap, gap.next(), true, List.of(), List.of());
    assertThat(daemon.receive(delta, nowNanos)).isFalse();
    ControlMessage targets =
        new ControlMessage.RegistryDelta(SERVICE, 99, 100, false, true, List.of(), List.of());
    assertThat(daemon.receive(targets, nowNanos)).isFalse();
    assertThat(daemon.view().revision()).isEqualTo(applied);
  }

  /**
   * A failed relay must not be retried immediately, and another relay must be tried even while all
   * are held down.
   */
  @Test
  void lostRelayIsHeldDownAndAnotherOneTried() {
    assertThat(daemon.nextRelay(nowNanos)).isEqualTo(OptionalInt.of(0));
    daemon.onDisconnected(nowNanos);
    assertThat(daemon.nextRelay(nowNanos)).isEqualTo(OptionalInt.empty());
    nowNanos += 100 * NANOS_PER_MILLI;
    assertThat(daemon.nextRelay(nowNanos)).isEqualTo(OptionalInt.of(1));
    daemon.onDisconnected(nowNanos);
    nowNanos += 2_000 * NANOS_PER_MILLI;
    assertThat(daemon.nextRelay(nowNanos)).isNotEqualTo(OptionalInt.empty());
    daemon.onDisconnected(nowNanos);
    for (int i = 0; i < 50; i++) {
      nowNanos += 2_000 * NANOS_PER_MILLI;
      assertThat(daemon.nextRelay(nowNanos)).isNotEqualTo(OptionalInt.empty());
      daemon.onDisconnected(nowNanos);
    }
  }

  /** A daemon must return from a distant relay after its preferred relay has recovered. */
  @Test
  void daemonReturnsToThePreferredRelayAfterMinimumStay() {
    attach(first);
    assertThat(daemon.shouldReturnToPreferred(nowNanos + 200_000 * NANOS_PER_MILLI)).isFalse();
    moveTo(second);
    second.sessions.confirmCurrent(nowNanos);
    assertThat(exchange(daemon.nextQuery(nowNanos))).isTrue();
    assertThat(daemon.shouldReturnToPreferred(nowNanos + 59_000 * NANOS_PER_MILLI)).isFalse();
    nowNanos += 120_000 * NANOS_PER_MILLI;
    assertThat(daemon.shouldReturnToPreferred(nowNanos)).isTrue();
    daemon.onLeftForPreferred();
    assertThat(daemon.nextRelay(nowNanos)).isEqualTo(OptionalInt.of(0));
  }

  /** Announcements of a silent session must not overwrite those made to another relay. */
  @Test
  void silentSessionYieldsNoRegistryChanges() {
    attach(first);
    Target target = target(1, "s0");
    first.sessions.announce(session, new ControlMessage.Announce(List.of(target)));
    assertThat(first.sessions.registryChanges(FRESHNESS_BOUND_NANOS, 10, nowNanos))
        .containsExactly(new RegistryChange.Register(target));
    first.registry.apply(List.of(new RegistryChange.Register(target)));
    assertThat(first.sessions.registryChanges(FRESHNESS_BOUND_NANOS, 10, nowNanos)).isEmpty();
    first.sessions.withdraw(session, new ControlMessage.Withdraw(List.of(target.id())));
    assertThat(first.sessions.registryChanges(FRESHNESS_BOUND_NANOS, 10, nowNanos))
        .containsExactly(new RegistryChange.Remove(target.id(), target.daemon()));
    assertThat(
            first.sessions.registryChanges(
                FRESHNESS_BOUND_NANOS, 10, nowNanos + FRESHNESS_BOUND_NANOS + 1))
        .isEmpty();
  }

  private void attach(Relay relay) {
    attachWithoutExchange(relay);
    // A proof is valid only if it is more recent than the daemon's first connection.
    nowNanos += NANOS_PER_MILLI;
    relay.sessions.confirmCurrent(nowNanos);
    assertThat(exchange(daemon.nextQuery(nowNanos))).isTrue();
    // The routed services are known only after the configuration has been received.
    daemon.updateSubscription().ifPresent(s -> relay.sessions.subscribe(session, s));
  }

  private void attachWithoutExchange(Relay relay) {
    while (daemon.nextRelay(nowNanos).isEmpty()) {
      nowNanos += 10 * NANOS_PER_MILLI;
    }
    attachedTo = relay;
    for (ControlMessage message : daemon.onConnected(nowNanos)) {
      if (message instanceof ControlMessage.ControlHello hello) {
        session = relay.sessions.attach(hello, nowNanos);
      } else if (message instanceof ControlMessage.Subscribe subscribe) {
        relay.sessions.subscribe(session, subscribe);
      }
    }
  }

  private void moveTo(Relay relay) {
    attachedTo.sessions.detach(session);
    daemon.onDisconnected(nowNanos);
    attachWithoutExchange(relay);
  }

  /** Sends a query and delivers the reply; returns false if the daemon rejects the relay. */
  private boolean exchange(ControlMessage.FreshnessQuery query) {
    boolean usable = true;
    for (ControlMessage message : attachedTo.sessions.handleQuery(session, query, nowNanos)) {
      usable &= daemon.receive(message, nowNanos);
    }
    return usable;
  }

  private void deliver(List<ControlMessage> messages) {
    messages.forEach(message -> assertThat(daemon.receive(message, nowNanos)).isTrue());
  }

  private void change(ConfigChange change, Relay... relays) {
    sequence++;
    for (Relay relay : relays) {
      relay.config.apply(RandomChanges.request("c" + sequence, Optional.empty(), sequence, change));
    }
  }

  private static ViewTracker tracker(Set<ServiceName> services) {
    return new ViewTracker(
        new DaemonId("d1"),
        new DataCentreId("dc"),
        2,
        services,
        FRESHNESS_BOUND_NANOS,
        RelayOrder.LISTED,
        new SplittableRandom(1));
  }

  private static Target target(int id, String service) {
    return new Target(
        new TargetId("t" + id),
        new ServiceName(service),
        new DaemonId("d1"),
        new DataCentreId("dc"),
        new Endpoint("127.0.0.1", 1),
        1,
        TargetState.UP);
  }

  private static RegistryChange randomTarget(Random random) {
    Target target = target(random.nextInt(9), "s" + random.nextInt(2));
    return random.nextInt(3) == 0
        ? new RegistryChange.Remove(target.id(), target.daemon())
        : new RegistryChange.Register(target);
  }

  private static Map<EntityId, ConfigEntity> expectedEntities(ConfigState config) {
    Map<EntityId, ConfigEntity> result = new HashMap<>();
    for (ConfigEntity entity : config.entities()) {
      if (entity.entityId().kind().isSentToTrafficDaemons()) {
        result.put(entity.entityId(), entity);
      }
    }
    return result;
  }

  private static Map<EntityId, ConfigEntity> entities(ViewTracker tracker) {
    return new HashMap<>(tracker.entities());
  }

  /** The applied state and the sessions of one control VM. */
  private static final class Relay {

    final ConfigState config = new ConfigState();
    final Registry registry = new Registry();
    final RelaySessions sessions;

    Relay(String vm) {
      sessions = new RelaySessions(new VmId(vm), config, registry, new QuarantineTable());
    }
  }

  /** A target must not be removed while a relay still reports its daemon as attached. */
  @Test
  void targetExpiresOneLeaseAfterLeaderChangeOrReport() {
    long leaseNanos = 10_000 * NANOS_PER_MILLI;
    AttachmentTracker tracker = new AttachmentTracker(leaseNanos);
    Registry registry = new Registry();
    registry.apply(List.of(new RegistryChange.Register(target(1, "s0"))));
    List<RegistryChange> expectedRemovals =
        new ArrayList<>(List.of(new RegistryChange.Expire(new TargetId("t1"), 1)));

    assertThat(tracker.expiredTargets(registry, nowNanos + 2 * leaseNanos)).isEmpty();
    tracker.startLeading(1, nowNanos);
    assertThat(tracker.expiredTargets(registry, nowNanos + leaseNanos)).isEmpty();
    assertThat(tracker.expiredTargets(registry, nowNanos + leaseNanos + 1))
        .isEqualTo(expectedRemovals);
    tracker.markAttached(List.of(new DaemonId("d1")), nowNanos + leaseNanos);
    assertThat(tracker.expiredTargets(registry, nowNanos + 2 * leaseNanos)).isEmpty();
    assertThat(tracker.expiredTargets(registry, nowNanos + 2 * leaseNanos + 1))
        .isEqualTo(expectedRemovals);
    tracker.startLeading(2, nowNanos + 2 * leaseNanos);
    assertThat(tracker.expiredTargets(registry, nowNanos + 3 * leaseNanos)).isEmpty();
    tracker.stopLeading();
    assertThat(tracker.expiredTargets(registry, nowNanos + 5 * leaseNanos)).isEmpty();
  }
}
