package org.cornelspoke.bench.soak;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cornelspoke.bench.load.AttemptRecord;
import org.cornelspoke.bench.load.LoadPlan;
import org.cornelspoke.bench.upstream.RequestEvent;
import org.cornelspoke.model.TrafficClass;
import org.junit.jupiter.api.Test;

/** Guards against a soak check that can't fail: each check gets a good log and a bad one. */
class SoakCheckerTest {

  private static final long SECOND = 1_000_000;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final List<AttemptRecord> attempts = new ArrayList<>();
  private final List<RequestEvent> events = new ArrayList<>();
  private final List<SoakChange> changes = new ArrayList<>();
  private String audit = "{\"entries\": []}";
  private String config = "{}";

  @Test
  void passesAGoodRun() {
    succeed(0, "a.r-1.1");
    succeed(SECOND, "a.r-2.1");
    refuse("a.r-3.1", "not-run");

    for (CheckResult result : checker().checkAll()) {
      assertThat(result.violations()).isEmpty();
    }
  }

  @Test
  void findsAnAnswerThatNoUpstreamLogged() {
    attempts.add(attempt(0, "a.r-1.1", 200, null, "a.r-1.1", true, "k-1"));

    assertThat(checker().logsAreComplete().violations()).hasSize(1);
  }

  @Test
  void findsARunWithoutAnySuccess() {
    assertThat(checker().logsAreComplete().isViolated()).isTrue();
  }

  @Test
  void findsARequestThatRanTwice() {
    events.add(started(1, "a.r-1.1", "key", "a", false));
    events.add(started(2, "a.r-1.2", "key", "a", false));
    events.add(started(2, "a.r-2.1", "other", "a", false));

    assertThat(checker().nothingRanTwice().violations()).hasSize(1);
    assertThat(checker().nothingRanTwice().checked()).isEqualTo(2);
  }

  @Test
  void findsAFalseNotRun() {
    refuse("a.r-1.1", "not-run");
    refuse("a.r-2.1", "may-have-run");
    events.add(started(1, "a.r-1.1", "key", "a", false));
    events.add(started(1, "a.r-2.1", "key2", "a", false));

    assertThat(checker().everyNotRunIsTrue().violations()).hasSize(1);
  }

  @Test
  void aShedRequestDidNotRun() {
    refuse("a.r-1.1", "not-run");
    events.add(event(RequestEvent.Kind.SHED, 1, "a.r-1.1", "key", "a", false));

    assertThat(checker().everyNotRunIsTrue().violations()).isEmpty();
  }

  @Test
  void findsAnswersOfOthersAndIncompleteOnes() {
    attempts.add(attempt(0, "a.r-1.1", 200, null, "a.r-9.1", true, "k-1"));
    attempts.add(attempt(0, "a.r-2.1", 200, null, "a.r-2.1", false, "k-1"));
    attempts.add(attempt(0, "a.r-3.2", 200, null, "a.r-3.1", true, "k-1"));

    // The third is the stored answer of an earlier attempt, which is right.
    assertThat(checker().answersAreWholeAndOwn().violations()).hasSize(2);
  }

  @Test
  void findsARequestThatRanForAnotherAccount() {
    attempts.add(attempt(0, "a.r-1.1", 200, null, "a.r-1.1", true, "k-1"));
    events.add(started(1, "a.r-1.1", null, "b", false));

    assertThat(checker().requestsRanForTheirAccount().violations()).hasSize(1);
  }

  @Test
  void findsAnAccountOverItsBound() {
    // Rate 10/s and burst 5: within one second 15 may be admitted, and the last comes at its end.
    for (int i = 0; i < 15; i++) {
      succeed(i * SECOND / 14, "a.r-" + i + ".1");
    }
    assertThat(RateCheck.check(logs()).violations()).isEmpty();

    succeed(SECOND - SECOND / 20, "a.r-15.1");
    succeed(SECOND - SECOND / 20, "a.r-16.1");

    CheckResult result = RateCheck.check(logs());
    assertThat(result.violations()).hasSize(1);
    assertThat(result.checked()).isEqualTo(17);
  }

  @Test
  void allowsABurstThatAQueueCaused() {
    // 20 requests were sent over two seconds, waited in a queue and began to run at once.
    for (int i = 0; i < 20; i++) {
      attempts.add(
          attempt(i * SECOND / 10, "a.r-" + i + ".1", 200, null, "a.r-" + i + ".1", true, "k-1"));
      events.add(started(3 * SECOND, "a.r-" + i + ".1", null, "a", false));
    }

    assertThat(RateCheck.check(logs()).violations()).isEmpty();
  }

  @Test
  void findsAWithdrawnKeyThatStillWorks() {
    changes.add(SoakChange.parse(10 * SECOND + "\tw\t0\twithdraw\tk-1"));
    succeed(14 * SECOND, "a.r-1.1");
    refuseAt(16 * SECOND, "a.r-2.1");
    assertThat(checker().withdrawnKeysStopped().violations()).isEmpty();
    assertThat(checker().withdrawnKeysStopped().checked()).isEqualTo(1);

    succeed(16 * SECOND, "a.r-3.1");
    assertThat(checker().withdrawnKeysStopped().violations()).hasSize(1);
  }

  @Test
  void findsAKeyAtAnUpstream() {
    events.add(started(1, "a.r-1.1", null, "a", true));

    assertThat(checker().noKeyReachedAnUpstream().violations()).hasSize(1);
  }

  @Test
  void findsALostChange() {
    changes.add(SoakChange.parse("1\tc1\t0\tpreset\tpeak"));
    assertThat(checker().noAcceptedChangeWasLost().violations()).hasSize(1);

    audit = audit(entry("c1", 7));
    config = "{\"presetInForce\": [{\"name\": \"ordinary\"}]}";
    assertThat(checker().noAcceptedChangeWasLost().violations()).hasSize(1);

    config = "{\"presetInForce\": [{\"name\": \"peak\"}]}";
    assertThat(checker().noAcceptedChangeWasLost().violations()).isEmpty();
  }

  @Test
  void theLatestRevisionDecidesAndALostAnswerMayCount() {
    changes.add(SoakChange.parse("1\tc1\t0\tweight\ta=3"));
    changes.add(SoakChange.parse("2\tc2\t5\tweight\ta=4"));
    changes.add(SoakChange.parse("3\tc3\t5\tweight\ta=5"));
    audit = audit(entry("c1", 7) + ", " + entry("c2", 8));

    config = "{\"accounts\": [{\"id\": \"a\", \"weight\": 4}]}";
    assertThat(checker().noAcceptedChangeWasLost().violations()).isEmpty();

    config = "{\"accounts\": [{\"id\": \"a\", \"weight\": 3}]}";
    assertThat(checker().noAcceptedChangeWasLost().violations()).hasSize(1);
  }

  @Test
  void findsAWithdrawnKeyThatIsBackAndARepeatedRevision() {
    changes.add(SoakChange.parse("1\tc1\t0\twithdraw\tk-1"));
    audit = audit(entry("c1", 7) + ", " + entry("c1", 7));
    config = "{\"keys\": [{\"id\": \"k-1\"}]}";

    // The repeated revision, the repeated request id, and the key that is back.
    assertThat(checker().noAcceptedChangeWasLost().violations()).hasSize(3);
  }

  @Test
  void readsAnAuditTrailInAnyOrder() {
    succeed(0, "a.r-1.1");
    audit =
        audit(
            "{\"sequence\": 2, \"requestId\": \"y\", \"revision\": 8, \"outcome\":"
                + " \"accepted\"}, "
                + "{\"sequence\": 1, \"requestId\": \"x\", \"revision\": 7, \"outcome\":"
                + " \"accepted\"}");

    assertThat(checker().noAcceptedChangeWasLost().violations()).isEmpty();
  }

  private void succeed(long atMicros, String id) {
    attempts.add(attempt(atMicros, id, 200, null, id, true, "k-1"));
    events.add(started(atMicros, id, null, "a", false));
  }

  private void refuse(String id, String verdict) {
    attempts.add(attempt(0, id, 503, verdict, null, true, "k-1"));
  }

  private void refuseAt(long atMicros, String id) {
    attempts.add(attempt(atMicros, id, 401, "not-run", null, true, "k-1"));
  }

  private SoakChecker checker() {
    return new SoakChecker(logs(), 5_000);
  }

  private SoakLogs logs() {
    LoadPlan plan =
        new LoadPlan(
            "r",
            1,
            1,
            0,
            List.of("127.0.0.1:1"),
            List.of(new LoadPlan.Caller("a", List.of(), 1, 10, 5, Map.of())),
            List.of(
                new LoadPlan.CalledRoute(
                    "e", "POST", "/e", TrafficClass.CRITICAL, 1, true, false, 1, 0)),
            null,
            null);
    return new SoakLogs(plan, attempts, events, changes, json(audit), json(config));
  }

  private static String audit(String entries) {
    return "{\"entries\": [" + entries + "]}";
  }

  private static String entry(String requestId, long revision) {
    return String.format(
        "{\"requestId\": \"%s\", \"revision\": %d, \"outcome\": \"accepted\"}",
        requestId, revision);
  }

  private static JsonNode json(String text) {
    try {
      return MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e);
    }
  }

  private static AttemptRecord attempt(
      long sentMicros,
      String id,
      int status,
      String verdict,
      String answerId,
      boolean intact,
      String keyId) {
    String operation = id.substring(0, id.lastIndexOf('.'));
    return new AttemptRecord(
        sentMicros,
        sentMicros + 1,
        id,
        "a",
        "e",
        "CRITICAL",
        keyId,
        operation,
        status,
        verdict,
        verdict == null ? null : "overload",
        null,
        answerId,
        intact,
        true);
  }

  private static RequestEvent started(
      long atMicros, String id, String idempotencyKey, String account, boolean authorization) {
    return event(RequestEvent.Kind.STARTED, atMicros, id, idempotencyKey, account, authorization);
  }

  private static RequestEvent event(
      RequestEvent.Kind kind,
      long atMicros,
      String id,
      String idempotencyKey,
      String account,
      boolean authorization) {
    return new RequestEvent(
        atMicros, "t-1", kind, "POST", "/e", idempotencyKey, "c", account, id, authorization);
  }
}
