package org.cornelspoke.state.config;

import static com.google.common.truth.Truth.assertThat;
import static org.cornelspoke.state.config.RandomChanges.account;
import static org.cornelspoke.state.config.RandomChanges.hex;
import static org.cornelspoke.state.config.RandomChanges.key;
import static org.cornelspoke.state.config.RandomChanges.preset;
import static org.cornelspoke.state.config.RandomChanges.request;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.RequestId;
import org.cornelspoke.model.Revision;
import org.junit.jupiter.api.Test;

class ConfigStateTest {

  private static final long DAY_MILLIS = 24L * 60 * 60 * 1_000;

  private final ConfigState state = new ConfigState();
  private int sequence;

  /** Guards against acceptance of two changes that are based on the same revision. */
  @Test
  void secondChangeBasedOnTheSameRevisionConflictsWithTheFirst() {
    Optional<Revision> base = Optional.of(state.revision());
    ChangeResult first = state.apply(request("r1", base, 1, create("a")));
    ChangeResult second = state.apply(request("r2", base, 2, create("b")));

    assertThat(first).isEqualTo(new ChangeResult.Accepted(new Revision(2)));
    assertThat(second).isInstanceOf(ChangeResult.Conflict.class);
    ChangeResult.Conflict conflict = (ChangeResult.Conflict) second;
    assertThat(conflict.current()).isEqualTo(new Revision(2));
    assertThat(conflict.conflictingChange().map(AuditEntry::requestId))
        .isEqualTo(Optional.of(new RequestId("r1")));
    assertThat(state.entity(account("b", 1).entityId())).isEqualTo(Optional.empty());
  }

  /** Guards against a retry that applies a change twice or gets a different result. */
  @Test
  void retryGetsTheRecordedResultOfAcceptedConflictingAndRejectedChanges() {
    List<ChangeRequest> requests =
        List.of(
            request("r1", Optional.empty(), 1, create("a")),
            request("r2", Optional.of(Revision.NONE), 2, create("b")),
            request("r3", Optional.empty(), 3, create("a")));
    List<ChangeResult> first = requests.stream().map(state::apply).toList();
    apply(create("c"));
    ConfigStateSnapshot before = state.snapshot();

    assertThat(requests.stream().map(state::apply).toList()).isEqualTo(first);
    assertThat(state.snapshot()).isEqualTo(before);
    assertThat(first.get(2)).isInstanceOf(ChangeResult.Rejected.class);
  }

  /** Guards against an operator who receives the result of a different change. */
  @Test
  void reusedRequestIdOfAnotherChangeIsRejected() {
    state.apply(request("r1", Optional.empty(), 1, create("a")));
    ChangeResult reused = state.apply(request("r1", Optional.empty(), 2, create("b")));
    assertThat(reused).isInstanceOf(ChangeResult.Rejected.class);
    assertThat(state.revision()).isEqualTo(new Revision(2));
  }

  /** Guards against eviction of recorded results by count alone or by age alone. */
  @Test
  void recordedResultsAreRetainedByCountAndByAge() {
    for (int i = 0; i < RecordedResults.MIN_RETAINED + 50; i++) {
      state.apply(request("r" + i, Optional.empty(), i, create("a" + i % 9)));
    }
    assertThat(state.snapshot().recordedResults()).hasSize(RecordedResults.MIN_RETAINED + 50);
    state.apply(request("late", Optional.empty(), DAY_MILLIS + 1_000, create("b")));
    assertThat(state.snapshot().recordedResults()).hasSize(RecordedResults.MIN_RETAINED);
    assertThat(state.snapshot().audit()).hasSize(AuditTrail.MAX_ENTRIES);
  }

  /** Guards against keys, tokens or secrets, or their hashes, in the audit trail. */
  @Test
  void auditNeverShowsHashesOrSecrets() {
    apply(new ConfigChange.SetOperator(new Operator(RandomChanges.OPERATOR, hex(0xabc1))));
    apply(create("a"));
    apply(new ConfigChange.GiveKey(key("k", "a", 0xabc2)));
    apply(new ConfigChange.RotateContextSecret(hex(0xabc3)));
    apply(new ConfigChange.RotateContextSecret(hex(0xabc4)));
    apply(new ConfigChange.WithdrawKey(key("k", "a", 0).id()));
    state.apply(
        request(
            "x", Optional.of(Revision.NONE), 9, new ConfigChange.GiveKey(key("l", "a", 0xabc5))));
    assertThat(state.audit(0, 100)).hasSize(7);
    assertThat(state.audit(0, 100).toString()).doesNotContain("abc");
  }

  /** Guards against keys of a deleted account that are still accepted. */
  @Test
  void deletingAnAccountWithdrawsItsKeysInOneRevision() {
    apply(create("a"));
    apply(new ConfigChange.GiveKey(key("k1", "a", 1)));
    apply(new ConfigChange.GiveKey(key("k2", "a", 2)));
    Revision before = state.revision();
    apply(new ConfigChange.DeleteAccount(new AccountId("a")));
    assertThat(state.revision()).isEqualTo(before.next());
    ConfigUpdate.Delta delta = (ConfigUpdate.Delta) state.updateFrom(before);
    assertThat(delta.removed())
        .containsExactly(
            account("a", 1).entityId(), key("k1", "a", 1).entityId(), key("k2", "a", 2).entityId());
  }

  /** Guards against a key that identifies two accounts. */
  @Test
  void oneKeyCannotBelongToTwoAccounts() {
    apply(create("a"));
    apply(create("b"));
    apply(new ConfigChange.GiveKey(key("k1", "a", 1)));
    ChangeResult second = apply(new ConfigChange.GiveKey(key("k2", "b", 1)));
    assertThat(second).isInstanceOf(ChangeResult.Rejected.class);
  }

  /** Guards against a change by an operator who was deleted while the change was in flight. */
  @Test
  void deletedOperatorCannotChangeAnything() {
    apply(new ConfigChange.SetOperator(new Operator(RandomChanges.OPERATOR, hex(1))));
    apply(new ConfigChange.SetOperator(new Operator(new OperatorId("o2"), hex(2))));
    apply(new ConfigChange.DeleteOperator(RandomChanges.OPERATOR));
    assertThat(apply(create("a"))).isInstanceOf(ChangeResult.Rejected.class);
  }

  /** Guards against a configuration that no operator can change any more. */
  @Test
  void lastOperatorCannotBeDeleted() {
    apply(new ConfigChange.SetOperator(new Operator(RandomChanges.OPERATOR, hex(1))));
    assertThat(apply(new ConfigChange.DeleteOperator(RandomChanges.OPERATOR)))
        .isInstanceOf(ChangeResult.Rejected.class);
  }

  /** Guards against operator entities that are sent to traffic daemons. */
  @Test
  void updatesForDaemonsExcludeOperators() {
    Revision before = state.revision();
    apply(new ConfigChange.SetOperator(new Operator(RandomChanges.OPERATOR, hex(1))));
    assertThat(((ConfigUpdate.Delta) state.updateFrom(before)).live()).isEmpty();
    ConfigUpdate.Full full = (ConfigUpdate.Full) state.updateFrom(Revision.NONE);
    assertThat(full.live().stream().filter(Operator.class::isInstance).toList()).isEmpty();
  }

  /** Guards against a daemon that keeps a deleted entity because its tombstone was evicted. */
  @Test
  void oldRevisionsGetTheFullConfigurationAfterTombstonesAreEvicted() {
    apply(create("a"));
    Revision old = state.revision();
    for (int i = 0; i <= EntityStore.MAX_TOMBSTONES; i++) {
      apply(new ConfigChange.GiveKey(key("k" + i, "a", i)));
      apply(new ConfigChange.WithdrawKey(key("k" + i, "a", i).id()));
    }
    assertThat(state.updateFrom(old)).isInstanceOf(ConfigUpdate.Full.class);
    Revision recent = new Revision(state.revision().number() - 10);
    assertThat(state.updateFrom(recent)).isInstanceOf(ConfigUpdate.Delta.class);
  }

  /**
   * Guards against replicas that diverge because their processes have different default locales.
   */
  @Test
  void stateDoesNotDependOnTheLocale() {
    ConfigState stateInArabicLocale = new ConfigState();
    List<ChangeRequest> requests =
        List.of(
            request("r1", Optional.empty(), 1, create("a")),
            request("r2", Optional.empty(), 2, new ConfigChange.SetPreset(preset("p", 12))));
    requests.forEach(state::apply);
    Locale previousLocale = Locale.getDefault();
    Locale.setDefault(Locale.forLanguageTag("ar-EG-u-nu-arab"));
    try {
      requests.forEach(stateInArabicLocale::apply);
    } finally {
      Locale.setDefault(previousLocale);
    }
    assertThat(stateInArabicLocale.snapshot()).isEqualTo(state.snapshot());
  }

  private static ConfigChange create(String account) {
    return new ConfigChange.CreateAccount(account(account, 5));
  }

  private ChangeResult apply(ConfigChange change) {
    sequence++;
    return state.apply(request("s" + sequence, Optional.empty(), sequence, change));
  }
}
