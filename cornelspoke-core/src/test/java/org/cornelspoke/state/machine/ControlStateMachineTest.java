package org.cornelspoke.state.machine;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.CallId;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.state.claim.ClaimKey;
import org.cornelspoke.state.claim.StoredResponse;
import org.cornelspoke.state.codec.CommandCodec;
import org.cornelspoke.state.codec.ControlCommand;
import org.cornelspoke.state.codec.ControlResult;
import org.cornelspoke.state.codec.MalformedMessageException;
import org.cornelspoke.state.config.ActivePreset;
import org.cornelspoke.state.config.ChangeRequest;
import org.cornelspoke.state.config.ChangeResult;
import org.cornelspoke.state.config.ConfigChange;
import org.cornelspoke.state.config.ConfigEntity;
import org.cornelspoke.state.config.ConfigUpdate;
import org.cornelspoke.state.config.EntityId;
import org.cornelspoke.state.config.EntityKind;
import org.cornelspoke.state.config.RandomChanges;
import org.cornelspoke.state.registry.RegistryChange;
import org.cornelspoke.state.registry.Target;
import org.cornelspoke.state.registry.TargetState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ControlStateMachineTest {

  private static final int CHANGES = 600;

  private final ControlStateMachine machine = new ControlStateMachine();
  private long index;

  /** Guards against state that is lost or altered by a restart after hundreds of changes. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void restoredStateIsEqualAndAppliesFurtherChangesEqually(long seed) {
    RandomChanges changes = new RandomChanges(seed);
    for (int i = 0; i < CHANGES; i++) {
      change(machine, changes.next());
    }
    populateRegistryAndClaims();
    ControlStateMachine restored = new ControlStateMachine();
    restored.restore(machine.snapshot());

    assertThat(restored.config().snapshot()).isEqualTo(machine.config().snapshot());
    assertThat(restored.snapshot()).isEqualTo(machine.snapshot());
    for (int i = 0; i < CHANGES; i++) {
      ChangeRequest next = changes.next();
      assertThat(change(restored, next)).isEqualTo(change(machine, next));
    }
    assertThat(restored.snapshot()).isEqualTo(machine.snapshot());
  }

  /** Guards against a retry that is applied again because a snapshot lost the recorded result. */
  @Test
  void retryAfterALostReplyGetsTheRecordedResultAcrossRestore() {
    ChangeRequest request =
        RandomChanges.request(
            "lost",
            Optional.of(machine.config().revision()),
            1,
            new ConfigChange.CreateAccount(RandomChanges.account("a", 1)));
    ChangeResult first = change(machine, request);
    ControlStateMachine restored = new ControlStateMachine();
    restored.restore(machine.snapshot());
    assertThat(change(restored, request)).isEqualTo(first);
    assertThat(restored.config().revision()).isEqualTo(machine.config().revision());
  }

  /**
   * Guards against deltas that omit a change or a deletion: a full copy of each earlier revision
   * plus the delta from that revision must equal the current full copy. Also checks that exactly
   * one existing preset is active at each revision.
   */
  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13, 14})
  void deltaEqualsFullCopyForRandomHistories(long seed) {
    RandomChanges changes = new RandomChanges(seed);
    List<Map<EntityId, ConfigEntity>> copies = new ArrayList<>();
    copies.add(Map.of());
    copies.add(fullCopy());
    for (int i = 0; i < CHANGES; i++) {
      ChangeResult result = change(machine, changes.next());
      if (result instanceof ChangeResult.Accepted accepted) {
        assertThat(accepted.revision().number()).isEqualTo(copies.size());
        copies.add(fullCopy());
        assertOneActivePreset();
      } else {
        assertThat(fullCopy()).isEqualTo(copies.get(copies.size() - 1));
      }
    }
    Map<EntityId, ConfigEntity> expected = forDaemons(fullCopy());
    for (int revision = 0; revision < copies.size(); revision++) {
      Map<EntityId, ConfigEntity> copy = forDaemons(copies.get(revision));
      apply(copy, machine.config().updateFrom(new Revision(revision)));
      assertThat(copy).isEqualTo(expected);
    }
    assertThat(copies.size()).isGreaterThan(CHANGES / 3);
  }

  /** Guards against a replica that diverges because it skips a command of a newer version. */
  @Test
  void unknownAndMalformedCommandsAreRejected() {
    byte[] command = CommandCodec.encode(new ControlCommand.Change(new RandomChanges(5).next()));
    byte[] before = machine.snapshot();
    byte[] unknown = command.clone();
    unknown[1] = 99;
    assertThrows(MalformedMessageException.class, () -> machine.apply(1, unknown));
    for (int length = 0; length < command.length; length++) {
      byte[] truncated = Arrays.copyOf(command, length);
      assertThrows(MalformedMessageException.class, () -> machine.apply(1, truncated));
    }
    byte[] longer = Arrays.copyOf(command, command.length + 1);
    assertThrows(MalformedMessageException.class, () -> machine.apply(1, longer));
    assertThat(machine.snapshot()).isEqualTo(before);
  }

  /** Guards against a damaged snapshot that partially replaces the state. */
  @Test
  void damagedSnapshotLeavesTheStateUnchanged() {
    change(machine, new RandomChanges(6).next());
    byte[] before = machine.snapshot();
    for (int length = 0; length < before.length; length += 7) {
      byte[] truncated = Arrays.copyOf(before, length);
      assertThrows(IllegalArgumentException.class, () -> machine.restore(truncated));
      assertThat(machine.snapshot()).isEqualTo(before);
    }
  }

  private void populateRegistryAndClaims() {
    Target target =
        new Target(
            new TargetId("t1"),
            new ServiceName("s1"),
            new DaemonId("d1"),
            new DataCentreId("dc"),
            new Endpoint("127.0.0.1", 1),
            5,
            TargetState.UP);
    ClaimKey key = new ClaimKey(new AccountId("a"), "k");
    CallId attempt = new CallId("0".repeat(32));
    apply(
        machine,
        new ControlCommand.RegistryBatch(
            List.of(
                new RegistryChange.Register(target),
                new RegistryChange.Drain(target.id(), target.daemon()))));
    apply(machine, new ControlCommand.PlaceClaim(key, attempt, "f", 5));
    StoredResponse response = new StoredResponse(201, Map.of("b", "2", "a", "1"), new byte[] {1});
    apply(machine, new ControlCommand.CompleteClaim(key, attempt, Optional.of(response), 6));
    apply(
        machine,
        new ControlCommand.ReleaseClaim(
            new ClaimKey(new AccountId("b"), "k"), new CallId("1".repeat(32)), 7));
  }

  private ChangeResult change(ControlStateMachine target, ChangeRequest request) {
    return ((ControlResult.Changed) apply(target, new ControlCommand.Change(request))).result();
  }

  private ControlResult apply(ControlStateMachine target, ControlCommand command) {
    return CommandCodec.decodeResult(target.apply(++index, CommandCodec.encode(command)));
  }

  private Map<EntityId, ConfigEntity> fullCopy() {
    Map<EntityId, ConfigEntity> copy = new HashMap<>();
    machine.config().entities().forEach(entity -> copy.put(entity.entityId(), entity));
    return copy;
  }

  private static Map<EntityId, ConfigEntity> forDaemons(Map<EntityId, ConfigEntity> copy) {
    Map<EntityId, ConfigEntity> result = new HashMap<>(copy);
    result.keySet().removeIf(id -> !id.kind().isSentToTrafficDaemons());
    return result;
  }

  private static void apply(Map<EntityId, ConfigEntity> copy, ConfigUpdate update) {
    if (update instanceof ConfigUpdate.Full full) {
      copy.clear();
      full.live().forEach(entity -> copy.put(entity.entityId(), entity));
    } else if (update instanceof ConfigUpdate.Delta delta) {
      delta.live().forEach(entity -> copy.put(entity.entityId(), entity));
      delta.removed().forEach(copy::remove);
    }
  }

  private void assertOneActivePreset() {
    List<ActivePreset> active =
        machine.config().entities().stream()
            .filter(ActivePreset.class::isInstance)
            .map(ActivePreset.class::cast)
            .toList();
    assertThat(active).hasSize(1);
    EntityId preset = new EntityId(EntityKind.PRESET, active.get(0).name().value());
    assertThat(machine.config().entity(preset)).isNotEqualTo(Optional.empty());
  }
}
