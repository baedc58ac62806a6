package org.cornelspoke.bench.load;

import io.activej.reactor.nio.NioReactor;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;
import org.cornelspoke.bench.http.AnswerBody;
import org.cornelspoke.bench.http.WireClient;
import org.cornelspoke.bench.http.WireException;
import org.cornelspoke.bench.http.WireFormat;
import org.cornelspoke.bench.http.WireMessage;
import org.cornelspoke.model.Endpoint;

/**
 * Sends the requests of a plan and judges their answers. Requests are sent when they are due,
 * however many are unanswered, and latency counts from the intended time, so that a stall of the
 * system under test or of the generator is not left out of the percentiles.
 *
 * <p>Belongs to the thread of its reactor.
 */
final class LoadGenerator {

  private static final String CONTENT = "x";

  private final NioReactor reactor;
  private final LoadPlan plan;
  private final WireClient client;
  private final Consumer<AttemptRecord> log;
  private final LongSupplier nanoClock;
  private final RandomGenerator jitter;
  private final Map<String, ReferenceBucket> buckets = new HashMap<>();
  private final LoadStats stats = new LoadStats();
  private final long startNanos;
  private long unfinished;

  LoadGenerator(
      NioReactor reactor, LoadPlan plan, Consumer<AttemptRecord> log, LongSupplier nanoClock) {
    this.reactor = reactor;
    this.plan = plan;
    this.client = new WireClient(reactor);
    this.log = log;
    this.nanoClock = nanoClock;
    this.jitter = new Well19937c(plan.seed());
    this.startNanos = nanoClock.getAsLong();
    for (LoadPlan.Caller account : plan.accounts()) {
      buckets.put(
          account.id(),
          new ReferenceBucket(account.rateTokensPerSecond(), account.burstTokens(), startNanos));
    }
  }

  long startNanos() {
    return startNanos;
  }

  LoadStats stats() {
    return stats;
  }

  long unfinished() {
    return unfinished;
  }

  long surplusAnswers() {
    return client.surplusAnswers();
  }

  void close() {
    client.close();
  }

  /** Sends the first attempt of a request. */
  void send(Arrival arrival) {
    unfinished++;
    stats.addOffered(arrival);
    attempt(arrival, 1);
  }

  private void attempt(Arrival arrival, int number) {
    LoadPlan.CalledRoute route = arrival.route();
    LoadPlan.Key key = keyOf(arrival);
    String operation = arrival.account().id() + "." + plan.runId() + "-" + arrival.sequence();
    Attempt attempt =
        new Attempt(
            arrival,
            number,
            operation + "." + number,
            route.unrepeatable() ? operation : null,
            key,
            key != null && buckets.get(arrival.account().id()).tryTake(nanoClock.getAsLong()),
            nowMicros());
    long left = millisLeft(arrival);
    byte[] request =
        WireFormat.request(
            route.method(),
            route.path(),
            arrival.edge(),
            headers(attempt, left),
            CONTENT.repeat(route.bodyBytes()).getBytes(StandardCharsets.UTF_8));
    client
        .call(Endpoint.parse(arrival.edge()).toSocketAddress(), request, left)
        .whenComplete((answer, e) -> finish(attempt, answer, e));
  }

  private static LoadPlan.Key keyOf(Arrival arrival) {
    if (arrival.route().open() || arrival.account().keys().isEmpty()) {
      return null;
    }
    int index = (int) (arrival.sequence() % arrival.account().keys().size());
    return arrival.account().keys().get(index);
  }

  private static Map<String, String> headers(Attempt attempt, long leftMillis) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Bench-Request-Id", attempt.requestId());
    headers.put("Cornelspoke-Deadline-Millis", Long.toString(leftMillis));
    if (attempt.key() != null) {
      headers.put("Authorization", "Bearer " + attempt.key().key());
    }
    if (attempt.idempotencyKey() != null) {
      headers.put("Idempotency-Key", attempt.idempotencyKey());
    }
    return headers;
  }

  private void finish(Attempt attempt, WireMessage answer, Exception error) {
    AttemptRecord result = record(attempt, answer, error);
    log.accept(result);
    stats.addAttempt(attempt.arrival(), result);
    if (result.isSuccess()) {
      long due = startNanos + attempt.arrival().atNanos();
      boolean measured = attempt.arrival().atNanos() >= plan.warmupMillis() * 1_000_000;
      long latency = (nanoClock.getAsLong() - due) / 1000;
      stats.addCompleted(
          attempt.arrival(), measured ? OptionalLong.of(latency) : OptionalLong.empty());
      unfinished--;
      return;
    }
    long wait = waitBeforeRetry(attempt, result, answer);
    if (wait < 0 || wait >= millisLeft(attempt.arrival())) {
      stats.addGaveUp(attempt.arrival());
      unfinished--;
      return;
    }
    reactor.delay(wait, () -> attempt(attempt.arrival(), attempt.number() + 1));
  }

  /** Returns the wait before the next attempt, or -1 if there is to be none. */
  private long waitBeforeRetry(Attempt attempt, AttemptRecord result, WireMessage answer) {
    boolean server = result.status() == 0 || result.status() == 429 || result.status() >= 500;
    if (!server || attempt.number() >= plan.retries().maxAttempts()) {
      return -1;
    }
    double spread = 0.5 + jitter.nextDouble();
    if (plan.retries().honourRetryAfter() && answer != null) {
      String after = answer.header("Retry-After").orElse("");
      if (after.matches("[0-9]{1,6}")) {
        return Long.parseLong(after) * 1000 + (long) (spread * plan.retries().backoffMillis());
      }
    }
    return (long) (spread * plan.retries().backoffMillis());
  }

  private long millisLeft(Arrival arrival) {
    long since = (nanoClock.getAsLong() - startNanos - arrival.atNanos()) / 1_000_000;
    return Math.max(1, arrival.route().deadlineMillis() - since);
  }

  private static AttemptRecord record(Attempt attempt, WireMessage answer, Exception error) {
    String verdict = answer == null ? null : answer.header("Cornelspoke-Verdict").orElse(null);
    boolean fromUpstream = answer != null && verdict == null && answer.status() < 300;
    return new AttemptRecord(
        attempt.sentMicros(),
        nowMicros(),
        attempt.requestId(),
        attempt.arrival().account().id(),
        attempt.arrival().route().name(),
        attempt.arrival().route().trafficClass().name(),
        attempt.key() == null ? null : attempt.key().id(),
        attempt.idempotencyKey(),
        answer == null ? 0 : answer.status(),
        verdict,
        answer == null ? null : answer.header("Cornelspoke-Reason").orElse(null),
        error == null ? null : failureName(error),
        fromUpstream ? AnswerBody.requestIdOf(answer.body()) : null,
        !fromUpstream || isIntact(answer),
        attempt.withinRate());
  }

  private static boolean isIntact(WireMessage answer) {
    String size = answer.header("Bench-Body-Bytes").orElse("");
    return size.matches("[0-9]{1,9}")
        && AnswerBody.isIntact(answer.body(), Integer.parseInt(size))
        && answer
            .header("Bench-Request-Id")
            .orElse("")
            .equals(AnswerBody.requestIdOf(answer.body()));
  }

  private static String failureName(Exception error) {
    return error instanceof WireException wire ? wire.kind().name() : error.toString();
  }

  private static long nowMicros() {
    return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
  }

  private record Attempt(
      Arrival arrival,
      int number,
      String requestId,
      String idempotencyKey,
      LoadPlan.Key key,
      boolean withinRate,
      long sentMicros) {}
}
