package org.cornelspoke.state.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.stream.IntStream;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.RequestFingerprint;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.state.claim.ClaimTable;
import org.cornelspoke.state.codec.CommandCodec;
import org.cornelspoke.state.codec.ControlCommand;
import org.cornelspoke.state.codec.SnapshotCodec;
import org.cornelspoke.state.config.ConfigState;
import org.cornelspoke.state.registry.Registry;
import org.junit.jupiter.api.Test;

class QuarantineTableTest {

  private final QuarantineTable table = new QuarantineTable(8);

  /** Guards against innocent requests that are convicted by one crash. */
  @Test
  void oneCrashConvictsNobody() {
    assertThat(table.recordCrash(crash("p1", "abc"), 1)).isFalse();
    assertThat(stateOf('a')).isEqualTo(QuarantineState.SUSPECTED);
  }

  @Test
  void requestOfTwoCrashesIsHeldAndBlockedAfterTheThird() {
    table.recordCrash(crash("p1", "abc"), 1);
    assertThat(table.recordCrash(crash("p2", "ade"), 2)).isTrue();
    assertThat(stateOf('a')).isEqualTo(QuarantineState.HELD);
    assertThat(stateOf('d')).isEqualTo(QuarantineState.SUSPECTED);
    assertThat(table.recordCrash(crash("p3", "af"), 3)).isTrue();
    assertThat(stateOf('a')).isEqualTo(QuarantineState.BLOCKED);
  }

  /** Guards against crashes that count once because their processes have the same name. */
  @Test
  void processesOfTheSameNameAtTwoDaemonsAreTwo() {
    table.recordCrash(crash("d", "p1", "a"), 1);
    assertThat(table.recordCrash(crash("d", "p1", "a"), 2)).isFalse();
    assertThat(table.recordCrash(crash("e", "p1", "a"), 3)).isTrue();
    assertThat(stateOf('a')).isEqualTo(QuarantineState.HELD);
  }

  /** Guards against a third upstream that crashes because a retried request ran in both others. */
  @Test
  void requestsThatRanTogetherInTwoCrashesAreHeldUntilOneIsKnown() {
    table.recordCrash(crash("p1", "ab"), 1);
    assertThat(table.recordCrash(crash("p2", "ab"), 2)).isTrue();
    assertThat(stateOf('a')).isEqualTo(QuarantineState.HELD);
    assertThat(stateOf('b')).isEqualTo(QuarantineState.HELD);
    table.recordCrash(crash("p3", "ac"), 3);
    assertThat(stateOf('a')).isEqualTo(QuarantineState.BLOCKED);
    assertThat(stateOf('b')).isEqualTo(QuarantineState.HELD);
    assertThat(table.entry(fingerprint('c'))).isEqualTo(Optional.empty());
    assertThat(table.recordResponse(fingerprint('b'), 4)).isTrue();
    assertThat(stateOf('b')).isEqualTo(QuarantineState.CLEARED);
  }

  /** Guards against two crashes that hold all requests that were retried from one to the other. */
  @Test
  void manyRequestsThatRanInTheSameTwoCrashesAreToldApartByTheThird() {
    QuarantineTable large = new QuarantineTable();
    int many = QuarantineTable.MAX_HELD_TOGETHER + 1;
    large.recordCrash(numbered("p1", many), 1);
    assertThat(large.recordCrash(numbered("p2", many), 2)).isFalse();
    assertThat(large.recordCrash(numbered("p3", 1), 3)).isTrue();
    assertThat(large.entries().stream().filter(QuarantineEntry::isRefused)).hasSize(1);
  }

  /** Guards against innocent requests that are charged with the crashes of a known one. */
  @Test
  void crashOfAKnownRequestCountsAgainstNoOther() {
    table.recordCrash(crash("p1", "ab"), 1);
    table.recordCrash(crash("p2", "ac"), 2);
    table.recordCrash(crash("p3", "abc"), 3);
    table.recordCrash(crash("p4", "abc"), 4);
    assertThat(stateOf('b')).isEqualTo(QuarantineState.SUSPECTED);
    assertThat(stateOf('c')).isEqualTo(QuarantineState.SUSPECTED);
  }

  /** Guards against a frequent request that is convicted by unrelated crashes. */
  @Test
  void successfulResponseBetweenCrashesClears() {
    for (int i = 0; i < 5; i++) {
      table.recordCrash(crash("p" + i, "a"), i);
      assertThat(table.recordResponse(fingerprint('a'), i)).isTrue();
    }
    assertThat(stateOf('a')).isEqualTo(QuarantineState.CLEARED);
    assertThat(table.recordResponse(fingerprint('a'), 9)).isFalse();
  }

  /** Guards against a report that is sent again and counts as another crash. */
  @Test
  void repeatedReportOfACrashCountsOnce() {
    for (int i = 0; i < 5; i++) {
      table.recordCrash(crash("p1", "a"), i);
    }
    assertThat(stateOf('a')).isEqualTo(QuarantineState.SUSPECTED);
  }

  @Test
  void releasedRequestIsConvictedAnewOnlyByNewCrashes() {
    block('a');
    assertThat(table.release(fingerprint('a'), new OperatorId("admin"), 5)).isTrue();
    assertThat(table.entry(fingerprint('a')).orElseThrow().releasedBy())
        .isEqualTo(Optional.of(new OperatorId("admin")));
    table.recordCrash(crash("q1", "a"), 6);
    assertThat(stateOf('a')).isEqualTo(QuarantineState.SUSPECTED);
    table.recordCrash(crash("q2", "a"), 7);
    table.recordCrash(crash("q3", "a"), 8);
    assertThat(stateOf('a')).isEqualTo(QuarantineState.BLOCKED);
  }

  /** Guards against a caller that sends many different requests to displace a blocked one. */
  @Test
  void fullTableDropsTheEntriesWithTheLeastEvidence() {
    block('a');
    table.recordCrash(crash("q1", "bcdef"), 5);
    table.recordCrash(crash("q2", "0123456789"), 6);
    assertThat(table.entries()).hasSize(8);
    assertThat(stateOf('a')).isEqualTo(QuarantineState.BLOCKED);
    assertThat(table.needsFullUpdate(3)).isFalse();
  }

  @Test
  void blockedRequestOutlastsQuietDaysAndIsDroppedAfterTheRetention() {
    block('a');
    table.recordCrash(crash("q1", "b"), QuarantineTable.RETENTION_MILLIS);
    assertThat(stateOf('a')).isEqualTo(QuarantineState.BLOCKED);
    long version = table.version();
    table.recordCrash(crash("q2", "c"), QuarantineTable.RETENTION_MILLIS + 100);
    assertThat(table.entry(fingerprint('a'))).isEqualTo(Optional.empty());
    assertThat(table.needsFullUpdate(version)).isTrue();
  }

  @Test
  void snapshotKeepsTheEvidence() {
    block('a');
    table.release(fingerprint('a'), new OperatorId("admin"), 5);
    block('b');
    SnapshotCodec.Contents contents =
        new SnapshotCodec.Contents(
            new ConfigState().snapshot(),
            new Registry().snapshot(),
            new ClaimTable().snapshot(),
            table.snapshot());
    SnapshotCodec.Contents decoded = SnapshotCodec.decode(SnapshotCodec.encode(contents));
    assertThat(decoded.quarantine()).isEqualTo(table.snapshot());
    QuarantineTable restored = new QuarantineTable();
    restored.restore(decoded.quarantine());
    restored.recordCrash(crash("r1", "b"), 9);
    assertThat(restored.entry(fingerprint('b')).orElseThrow().state())
        .isEqualTo(QuarantineState.BLOCKED);
  }

  @Test
  void commandsSurviveEncoding() {
    for (ControlCommand command :
        new ControlCommand[] {
          new ControlCommand.RecordCrash(crash("p1", "ab"), 5),
          new ControlCommand.RecordResponse(fingerprint('a'), 6),
          new ControlCommand.ReleaseRequest(fingerprint('a'), new OperatorId("admin"), 7)
        }) {
      assertThat(CommandCodec.decode(CommandCodec.encode(command))).isEqualTo(command);
    }
  }

  private void block(char digit) {
    for (String process : new String[] {"1", "2", "3"}) {
      table.recordCrash(crash(digit + process, String.valueOf(digit)), 1);
    }
    assertThat(stateOf(digit)).isEqualTo(QuarantineState.BLOCKED);
  }

  private QuarantineState stateOf(char digit) {
    return table.entry(fingerprint(digit)).orElseThrow().state();
  }

  /** Returns the crash of a process that ran a request for each digit. */
  private static CrashReport crash(String process, String digits) {
    return crash("d", process, digits);
  }

  private static CrashReport crash(String daemon, String process, String digits) {
    return new CrashReport(
        process,
        new ServiceName("svc"),
        new DaemonId(daemon),
        digits.chars().mapToObj(digit -> request((char) digit)).toList());
  }

  /** Returns the crash of a process that ran so many requests. */
  private static CrashReport numbered(String process, int count) {
    return new CrashReport(
        process,
        new ServiceName("svc"),
        new DaemonId("d"),
        IntStream.range(0, count)
            .mapToObj(
                number ->
                    new CrashReport.RunningRequest(
                        new RequestFingerprint("%032x".formatted(number)),
                        number,
                        "GET",
                        "/read/" + number,
                        new AccountId("farm")))
            .toList());
  }

  private static CrashReport.RunningRequest request(char digit) {
    return new CrashReport.RunningRequest(
        fingerprint(digit), digit, "GET", "/read/" + digit, new AccountId("farm"));
  }

  private static RequestFingerprint fingerprint(char digit) {
    return new RequestFingerprint(String.valueOf(digit).repeat(32));
  }
}
