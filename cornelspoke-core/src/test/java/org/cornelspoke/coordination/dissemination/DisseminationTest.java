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
import org.cornelspoke.state.registry.Registry;
import org.cornelspoke.state.registry.RegistryChange;
import org.cornelspoke.state.registry.Target;
import org.cornelspoke.state.registry.TargetState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Relays and a daemon in virtual time; messages arrive at once and in order. */
class DisseminationTest {

  private static final long MILLI = 1_000_000;
  private static final long BOUND = 3_000 * MILLI;
  private static final ServiceName SERVICE = new ServiceName("s0");

  private final Relay first = new Relay("vm1");
  private final Relay second = new Relay("vm2");
  private final ViewTracker daemon = tracker(Set.of(SERVICE));
  private Relay attachedTo;
  private RelaySession session;
  private long now = 1_000 * MILLI;
  private int sequence;

  /** Guards against a lagging relay that takes a daemon back to an earlier revision. */
  @Test
  void laggingRelayCannotTakeADaemonBack() {
    change(new ConfigChange.CreateAccount(RandomChanges.account("a", 1)), first, second);
    change(new ConfigChange.CreateAccount(RandomChanges.account("b", 1)), first);
    attach(first);
    Revision applied = daemon.view().revision();
    leaveFor(second);
    second.sessions.confirmCurrent(now);
    assertThat(exchange(daemon.nextQuery(now))).isTrue();

    assertThat(daemon.view().revision()).isEqualTo(applied);
    assertThat(daemon.view().account(new AccountId("b"))).isNotEqualTo(Optional.empty());
    ControlMessage.ConfigSnapshot old =
        new ControlMessage.ConfigSnapshot(second.config.revision(), true, true, List.of());
    assertThat(daemon.receive(old, now)).isTrue();
    assertThat(daemon.view().revision()).isEqualTo(applied);
  }

  /**
   * Guards against a restarted daemon that serves by an older revision than before: a relay that is
   * still within the bound may lack what another relay gave to the earlier process.
   */
  @Test
  void restartedDaemonIsNotTakenBackByAnEarlierProof() {
    second.sessions.confirmCurrent(now);
    now += 100 * MILLI;
    change(new ConfigChange.CreateAccount(RandomChanges.account("a", 1)), first);
    now += 100 * MILLI;
    attachWithoutExchange(second);
    now += 100 * MILLI;
    assertThat(exchange(daemon.nextQuery(now))).isTrue();
    assertThat(daemon.freshAsOfNanos()).isEqualTo(Optional.empty());
    now += 100 * MILLI;
    second.sessions.confirmCurrent(now);
    exchange(daemon.nextQuery(now));
    assertThat(daemon.freshAsOfNanos()).isEqualTo(Optional.of(now));
  }

  /** Guards against a lagging relay that keeps a daemon: it renews nothing and is left. */
  @Test
  void laggingRelayRenewsNoFreshnessAndIsLeft() {
    change(new ConfigChange.CreateAccount(RandomChanges.account("a", 1)), first);
    attach(first);
    long freshAsOf = daemon.freshAsOfNanos().orElseThrow();
    leaveFor(second);
    for (int i = 0; i < 10; i++) {
      now += 100 * MILLI;
      second.sessions.confirmCurrent(now);
      exchange(daemon.nextQuery(now));
    }
    assertThat(daemon.freshAsOfNanos()).isEqualTo(Optional.of(freshAsOf));
    now += BOUND;
    assertThat(daemon.mustLeave(now)).isTrue();
  }

  /**
   * Guards against a relay behind a partition that keeps its daemons: without a quorum it confirms
   * nothing, so the daemon must leave it, and reach the other one, before its view is stale.
   */
  @Test
  void relayWithoutQuorumIsLeftWithinTheBound() {
    attach(first);
    long lastFresh = daemon.freshAsOfNanos().orElseThrow();
    boolean left = false;
    while (!left) {
      now += 100 * MILLI;
      left = !exchange(daemon.nextQuery(now)) || daemon.mustLeave(now);
      assertThat(daemon.freshAsOfNanos()).isEqualTo(Optional.of(lastFresh));
    }
    assertThat(now - lastFresh).isLessThan(BOUND);
    leaveFor(second);
    second.sessions.confirmCurrent(now);
    exchange(daemon.nextQuery(now));
    assertThat(now - lastFresh).isLessThan(BOUND);
    assertThat(daemon.freshAsOfNanos()).isEqualTo(Optional.of(now));
  }

  /** Guards against a silent partition: no answer at all must end the attachment as well. */
  @Test
  void silentRelayIsLeftWithinTheBound() {
    attach(first);
    long lastFresh = daemon.freshAsOfNanos().orElseThrow();
    while (!daemon.mustLeave(now)) {
      now += 100 * MILLI;
      daemon.nextQuery(now);
    }
    assertThat(now - lastFresh).isLessThan(BOUND);
  }

  /**
   * Guards against a daemon that moves to a relay on a frozen VM, which accepts the connection, and
   * waits there for most of the bound.
   */
  @Test
  void relayThatNeverAnswersIsLeftSoon() {
    attach(first);
    leaveFor(second);
    long attachedAt = now;
    while (!daemon.mustLeave(now)) {
      now += 50 * MILLI;
      daemon.nextQuery(now);
    }
    assertThat(now - attachedAt).isAtMost(BOUND / 4);
  }

  /** Guards against daemons whose rate shares are missing while they wait for a frozen relay. */
  @Test
  void relayThatStopsAnsweringIsLeftSoon() {
    attach(first);
    long lastFresh = daemon.freshAsOfNanos().orElseThrow();
    for (int tick = 0; !daemon.mustLeave(now); tick++) {
      now += 50 * MILLI;
      if (tick % 4 == 3) {
        daemon.nextQuery(now);
      }
    }
    assertThat(now - lastFresh).isAtMost(BOUND / 4);
  }

  /**
   * Guards against daemons that change relays again and again while a restarted group has no proof
   * yet.
   */
  @Test
  void relayThatHasNoProofYetIsGivenTime() {
    attachWithoutExchange(first);
    now += 100 * MILLI;
    assertThat(exchange(daemon.nextQuery(now))).isTrue();
    assertThat(daemon.isRelayUnproven()).isTrue();
    now += 100 * MILLI;
    first.sessions.confirmCurrent(now);
    assertThat(exchange(daemon.nextQuery(now))).isTrue();
    assertThat(daemon.isRelayUnproven()).isFalse();
    assertThat(daemon.freshAsOfNanos()).isEqualTo(Optional.of(now));

    leaveFor(second);
    now += 1_200 * MILLI;
    assertThat(exchange(daemon.nextQuery(now))).isFalse();
  }

  /** Guards against an age that does not count the time of the daemon's own query. */
  @Test
  void freshnessCountsFromTheQueryAndTheRelaysAge() {
    attach(first);
    now += 1_000 * MILLI;
    first.sessions.confirmCurrent(now);
    now += 50 * MILLI;
    ControlMessage.FreshnessQuery query = daemon.nextQuery(now);
    long askedAt = now;
    now += 300 * MILLI;
    List<ControlMessage> answer = first.sessions.handleQuery(session, query, now);
    now += 200 * MILLI;
    answer.forEach(message -> daemon.receive(message, now));
    assertThat(daemon.freshAsOfNanos()).isEqualTo(Optional.of(askedAt - 350 * MILLI));
  }

  /** Guards against a restarted daemon that is fresh without the configuration. */
  @Test
  void restartedDaemonIsNotFreshBeforeItHasTheConfiguration() {
    attachWithoutExchange(first);
    ControlMessage.FreshnessReply early =
        new ControlMessage.FreshnessReply(1, first.config.revision(), Optional.of(0L));
    assertThat(daemon.receive(early, now)).isFalse();
    assertThat(daemon.freshAsOfNanos()).isEqualTo(Optional.empty());
  }

  /** Guards against a withdrawn key that is still accepted after the delta. */
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

  /** Guards against a daemon that misses or keeps anything while it moves between relays. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void daemonEqualsItsRelayThroughRandomMoves(long seed) {
    Random random = new Random(seed);
    RandomChanges changes = new RandomChanges(seed);
    attach(first);
    for (int step = 0; step < 400; step++) {
      now += 10 * MILLI;
      var change = changes.next();
      var batch = List.of(randomTarget(random));
      first.config.apply(change);
      first.registry.apply(batch);
      second.config.apply(change);
      second.registry.apply(batch);
      if (random.nextInt(20) == 0) {
        leaveFor(attachedTo == first ? second : first);
      }
      if (random.nextInt(3) == 0) {
        deliver(attachedTo.sessions.takePendingUpdates(session));
        assertThat(entities(daemon)).isEqualTo(expected(attachedTo.config));
        assertThat(Set.copyOf(daemon.view().targets(SERVICE)))
            .isEqualTo(Set.copyOf(attachedTo.registry.updateFrom(SERVICE, 0).live()));
      }
    }
  }

  /** Guards against half of a large configuration that takes effect, and against huge frames. */
  @Test
  void largeConfigurationTakesEffectWithItsLastPart() {
    change(new ConfigChange.CreateAccount(RandomChanges.account("a", 1)), first);
    for (int i = 0; i < 5_000; i++) {
      change(new ConfigChange.GiveKey(key("k" + i, "a", i)), first);
    }
    attachWithoutExchange(first);
    List<ControlMessage> parts = first.sessions.takePendingUpdates(session);
    assertThat(parts.size()).isGreaterThan(2);
    parts.subList(0, parts.size() - 1).forEach(part -> daemon.receive(part, now));
    assertThat(daemon.view().revision()).isEqualTo(Revision.NONE);
    daemon.receive(parts.get(parts.size() - 1), now);
    assertThat(daemon.view().revision()).isEqualTo(first.config.revision());
    assertThat(entities(daemon)).isEqualTo(expected(first.config));
  }

  /** Guards against a gap that goes unnoticed: the relay that left it must be left. */
  @Test
  void deltaAfterAGapIsRefused() {
    attach(first);
    Revision applied = daemon.view().revision();
    Revision gap = applied.next();
    ControlMessage delta =
        new ControlMessage.ConfigDelta(gap, gap.next(), true, List.of(), List.of());
    assertThat(daemon.receive(delta, now)).isFalse();
    ControlMessage targets =
        new ControlMessage.RegistryDelta(SERVICE, 99, 100, false, true, List.of(), List.of());
    assertThat(daemon.receive(targets, now)).isFalse();
    assertThat(daemon.view().revision()).isEqualTo(applied);
  }

  /**
   * Guards against a lost relay that is tried again at once, and against a wait for all of them.
   */
  @Test
  void lostRelayIsHeldDownAndAnotherOneTried() {
    assertThat(daemon.nextRelay(now)).isEqualTo(OptionalInt.of(0));
    daemon.onDisconnected(now);
    assertThat(daemon.nextRelay(now)).isEqualTo(OptionalInt.empty());
    now += 100 * MILLI;
    assertThat(daemon.nextRelay(now)).isEqualTo(OptionalInt.of(1));
    daemon.onDisconnected(now);
    now += 2_000 * MILLI;
    assertThat(daemon.nextRelay(now)).isNotEqualTo(OptionalInt.empty());
    daemon.onDisconnected(now);
    for (int i = 0; i < 50; i++) {
      now += 2_000 * MILLI;
      assertThat(daemon.nextRelay(now)).isNotEqualTo(OptionalInt.empty());
      daemon.onDisconnected(now);
    }
  }

  /** Guards against daemons that stay with a distant relay after their own one has recovered. */
  @Test
  void daemonReturnsToThePreferredRelayAfterAStay() {
    attach(first);
    assertThat(daemon.shouldReturnToPreferred(now + 200_000 * MILLI)).isFalse();
    leaveFor(second);
    second.sessions.confirmCurrent(now);
    assertThat(exchange(daemon.nextQuery(now))).isTrue();
    assertThat(daemon.shouldReturnToPreferred(now + 59_000 * MILLI)).isFalse();
    now += 120_000 * MILLI;
    assertThat(daemon.shouldReturnToPreferred(now)).isTrue();
    daemon.onLeftForPreferred();
    assertThat(daemon.nextRelay(now)).isEqualTo(OptionalInt.of(0));
  }

  /** Guards against announcements of a silent session that undo those made to another relay. */
  @Test
  void silentSessionNoLongerDecidesAboutTargets() {
    attach(first);
    Target target = target(1, "s0");
    first.sessions.announce(session, new ControlMessage.Announce(List.of(target)));
    assertThat(first.sessions.registryChanges(BOUND, 10, now))
        .containsExactly(new RegistryChange.Register(target));
    first.registry.apply(List.of(new RegistryChange.Register(target)));
    assertThat(first.sessions.registryChanges(BOUND, 10, now)).isEmpty();
    first.sessions.withdraw(session, new ControlMessage.Withdraw(List.of(target.id())));
    assertThat(first.sessions.registryChanges(BOUND, 10, now))
        .containsExactly(new RegistryChange.Remove(target.id(), target.daemon()));
    assertThat(first.sessions.registryChanges(BOUND, 10, now + BOUND + 1)).isEmpty();
  }

  private void attach(Relay relay) {
    attachWithoutExchange(relay);
    // A proof counts only if it is from after the start of the daemon.
    now += MILLI;
    relay.sessions.confirmCurrent(now);
    assertThat(exchange(daemon.nextQuery(now))).isTrue();
    // The services that the configuration routes are known only now.
    daemon.updateSubscription().ifPresent(s -> relay.sessions.subscribe(session, s));
  }

  private void attachWithoutExchange(Relay relay) {
    while (daemon.nextRelay(now).isEmpty()) {
      now += 10 * MILLI;
    }
    attachedTo = relay;
    for (ControlMessage message : daemon.onConnected(now)) {
      if (message instanceof ControlMessage.ControlHello hello) {
        session = relay.sessions.attach(hello, now);
      } else if (message instanceof ControlMessage.Subscribe subscribe) {
        relay.sessions.subscribe(session, subscribe);
      }
    }
  }

  private void leaveFor(Relay relay) {
    attachedTo.sessions.detach(session);
    daemon.onDisconnected(now);
    attachWithoutExchange(relay);
  }

  /** Returns false if the daemon finds the relay unusable. */
  private boolean exchange(ControlMessage.FreshnessQuery query) {
    boolean usable = true;
    for (ControlMessage message : attachedTo.sessions.handleQuery(session, query, now)) {
      usable &= daemon.receive(message, now);
    }
    return usable;
  }

  private void deliver(List<ControlMessage> messages) {
    messages.forEach(message -> assertThat(daemon.receive(message, now)).isTrue());
  }

  private void change(ConfigChange change, Relay... relays) {
    sequence++;
    for (Relay relay : relays) {
      relay.config.apply(RandomChanges.request("c" + sequence, Optional.empty(), sequence, change));
    }
  }

  private static ViewTracker tracker(Set<ServiceName> services) {
    return new ViewTracker(
        new DaemonId("d1"), new DataCentreId("dc"), 2, services, BOUND, new SplittableRandom(1));
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

  private static Map<EntityId, ConfigEntity> expected(ConfigState config) {
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

  /** One control VM's applied state and sessions. */
  private static final class Relay {

    final ConfigState config = new ConfigState();
    final Registry registry = new Registry();
    final RelaySessions sessions;

    Relay(String vm) {
      sessions = new RelaySessions(new VmId(vm), config, registry);
    }
  }

  /** Guards against a target that is removed while a relay still vouches for its daemon. */
  @Test
  void newLeaderWaitsOneLeaseAndReportsRenewIt() {
    long lease = 10_000 * MILLI;
    AttachmentTracker tracker = new AttachmentTracker(lease);
    Registry registry = new Registry();
    registry.apply(List.of(new RegistryChange.Register(target(1, "s0"))));
    List<RegistryChange> expiry =
        new ArrayList<>(List.of(new RegistryChange.Expire(new TargetId("t1"), 1)));

    assertThat(tracker.expiredTargets(registry, now + 2 * lease)).isEmpty();
    tracker.startLeading(1, now);
    assertThat(tracker.expiredTargets(registry, now + lease)).isEmpty();
    assertThat(tracker.expiredTargets(registry, now + lease + 1)).isEqualTo(expiry);
    tracker.markAttached(List.of(new DaemonId("d1")), now + lease);
    assertThat(tracker.expiredTargets(registry, now + 2 * lease)).isEmpty();
    assertThat(tracker.expiredTargets(registry, now + 2 * lease + 1)).isEqualTo(expiry);
    tracker.startLeading(2, now + 2 * lease);
    assertThat(tracker.expiredTargets(registry, now + 3 * lease)).isEmpty();
    tracker.stopLeading();
    assertThat(tracker.expiredTargets(registry, now + 5 * lease)).isEmpty();
  }
}
