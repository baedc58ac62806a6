package org.cornelspoke.state.registry;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RegistryTest {

  private static final List<ServiceName> SERVICES =
      List.of(new ServiceName("s0"), new ServiceName("s1"), new ServiceName("s2"));

  private final Registry registry = new Registry();

  /** Guards against service deltas that omit a target or keep a removed or moved one. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void deltaOfEachServiceEqualsItsFullList(long seed) {
    Random random = new Random(seed);
    List<Long> versions = new ArrayList<>();
    List<Map<ServiceName, Map<TargetId, Target>>> copies = new ArrayList<>();
    for (int i = 0; i < 400; i++) {
      registry.apply(List.of(randomChange(random), randomChange(random)));
      versions.add(registry.version());
      copies.add(fullCopy());
    }
    Registry restored = new Registry();
    restored.restore(registry.snapshot());
    assertThat(restored.snapshot()).isEqualTo(registry.snapshot());
    Map<ServiceName, Map<TargetId, Target>> expected = fullCopy();
    for (int i = 0; i < versions.size(); i++) {
      for (ServiceName service : SERVICES) {
        Map<TargetId, Target> copy = copies.get(i).get(service);
        RegistryUpdate update = restored.updateFrom(service, versions.get(i));
        assertThat(restored.hasChanged(service, versions.get(i)))
            .isEqualTo(!update.live().isEmpty() || !update.removed().isEmpty());
        if (update.full()) {
          copy.clear();
        }
        update.live().forEach(target -> copy.put(target.id(), target));
        update.removed().forEach(copy::remove);
        assertThat(copy).isEqualTo(expected.get(service));
      }
    }
  }

  /** Guards against a delayed drain or removal by a daemon that does not own the target. */
  @Test
  void onlyTheOwnerDrainsOrRemoves() {
    Target target = target(1, 1, "s0", 5);
    DaemonId otherDaemon = new DaemonId("d2");
    registry.apply(
        List.of(
            new RegistryChange.Register(target),
            new RegistryChange.Drain(target.id(), otherDaemon),
            new RegistryChange.Remove(target.id(), otherDaemon)));
    assertThat(registry.target(target.id())).isEqualTo(Optional.of(target));
    registry.apply(List.of(new RegistryChange.Drain(target.id(), target.daemon())));
    assertThat(registry.target(target.id()).orElseThrow().state()).isEqualTo(TargetState.DRAINING);
  }

  /** Guards against two daemons that alternately replace each other's target and flood the log. */
  @Test
  void targetIdBelongsToOneDaemonUntilItIsRemoved() {
    Target target = target(1, 1, "s0", 5);
    Target conflicting = target(1, 2, "s0", 5);
    registry.apply(
        List.of(new RegistryChange.Register(target), new RegistryChange.Register(conflicting)));
    assertThat(registry.target(target.id())).isEqualTo(Optional.of(target));
    registry.apply(
        List.of(
            new RegistryChange.Remove(target.id(), target.daemon()),
            new RegistryChange.Register(conflicting)));
    assertThat(registry.target(target.id())).isEqualTo(Optional.of(conflicting));
  }

  /** Guards against expiry of a target that was registered again in the meantime. */
  @Test
  void expiryOfAnOlderVersionDoesNothing() {
    Target target = target(1, 1, "s0", 5);
    long version = registry.apply(List.of(new RegistryChange.Register(target)));
    registry.apply(List.of(new RegistryChange.Register(target(1, 1, "s0", 6))));
    registry.apply(List.of(new RegistryChange.Expire(target.id(), version)));
    assertThat(registry.target(target.id())).isNotEqualTo(Optional.empty());
    registry.apply(List.of(new RegistryChange.Expire(target.id(), registry.version())));
    assertThat(registry.target(target.id())).isEqualTo(Optional.empty());
  }

  /** Guards against a new version, and deltas to all daemons, for each repeated announcement. */
  @Test
  void repeatedRegistrationDoesNotIncrementTheVersion() {
    long version = registry.apply(List.of(new RegistryChange.Register(target(1, 1, "s0", 5))));
    assertThat(registry.apply(List.of(new RegistryChange.Register(target(1, 1, "s0", 5)))))
        .isEqualTo(version);
  }

  /** Guards against a daemon that keeps a removed target because its tombstone was evicted. */
  @Test
  void oldVersionsGetTheFullListAfterTombstonesAreEvicted() {
    long oldVersion = registry.apply(List.of(new RegistryChange.Register(target(0, 0, "s0", 5))));
    registry.apply(List.of(new RegistryChange.Remove(new TargetId("t0"), new DaemonId("d0"))));
    for (int i = 1; i <= Registry.MAX_TOMBSTONES; i++) {
      Target target = target(i, i, "s1", 5);
      registry.apply(
          List.of(
              new RegistryChange.Register(target),
              new RegistryChange.Remove(target.id(), target.daemon())));
    }
    assertThat(registry.hasChanged(new ServiceName("s0"), oldVersion)).isTrue();
    assertThat(registry.updateFrom(new ServiceName("s0"), oldVersion).full()).isTrue();
  }

  private static RegistryChange randomChange(Random random) {
    int id = random.nextInt(12);
    DaemonId daemon = new DaemonId("d" + random.nextInt(3));
    TargetId target = new TargetId("t" + id);
    return switch (random.nextInt(5)) {
      case 0 -> new RegistryChange.Drain(target, daemon);
      case 1 -> new RegistryChange.Remove(target, daemon);
      default ->
          new RegistryChange.Register(
              target(id, random.nextInt(3), "s" + random.nextInt(3), 1 + random.nextInt(3)));
    };
  }

  private static Target target(int id, int daemon, String service, int slots) {
    return new Target(
        new TargetId("t" + id),
        new ServiceName(service),
        new DaemonId("d" + daemon),
        new DataCentreId("dc"),
        new Endpoint("127.0.0.1", 1),
        slots,
        TargetState.UP);
  }

  private Map<ServiceName, Map<TargetId, Target>> fullCopy() {
    Map<ServiceName, Map<TargetId, Target>> copy = new HashMap<>();
    for (ServiceName service : SERVICES) {
      Map<TargetId, Target> targets = new HashMap<>();
      registry.targets().stream()
          .map(entry -> entry.target().orElseThrow())
          .filter(target -> target.service().equals(service))
          .forEach(target -> targets.put(target.id(), target));
      copy.put(service, targets);
    }
    return copy;
  }
}
