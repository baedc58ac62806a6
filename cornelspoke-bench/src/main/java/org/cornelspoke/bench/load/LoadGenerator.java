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
import org.cornelspoke.bench.http.ResponseBody;
import org.cornelspoke.bench.http.WireClient;
import org.cornelspoke.bench.http.WireException;
import org.cornelspoke.bench.http.WireFormat;
import org.cornelspoke.bench.http.WireMessage;
import org.cornelspoke.model.Endpoint;

/**
 * Sends the requests of a plan and checks their responses. The load is open-loop: a request is sent
 * when it is due, however many are in flight. Latency is measured from the intended send time, so
 * that the percentiles include stalls of the system under test and of the generator.
 *
 * <p>Must be used only on the thread of its reactor.
 */
final class LoadGenerator {

  private static final String BODY_FILLER = "x";

  private final NioReactor reactor;
  private final LoadPlan plan;
  private final WireClient httpClient;
  private final Consumer<AttemptRecord> log;
  private final LongSupplier nanoClock;
  private final RandomGenerator jitterRandom;
  private final Map<String, ReferenceBucket> referenceBuckets = new HashMap<>();
  private final LoadStats stats = new LoadStats();
  private final long startNanos;
  private long unfinishedRequests;

  LoadGenerator(
      NioReactor reactor, LoadPlan plan, Consumer<AttemptRecord> log, LongSupplier nanoClock) {
    this.reactor = reactor;
    this.plan = plan;
    this.httpClient = new WireClient(reactor);
    this.log = log;
    this.nanoClock = nanoClock;
    this.jitterRandom = new Well19937c(plan.seed());
    this.startNanos = nanoClock.getAsLong();
    for (LoadPlan.Caller account : plan.accounts()) {
      referenceBuckets.put(
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

  long unfinishedRequests() {
    return unfinishedRequests;
  }

  long unsolicitedResponses() {
    return httpClient.unsolicitedResponses();
  }

  void close() {
    httpClient.close();
  }

  /** Sends the first attempt of a request. */
  void send(Arrival arrival) {
    unfinishedRequests++;
    stats.addOffered(arrival);
    attempt(arrival, 1);
  }

  private void attempt(Arrival arrival, int number) {
    LoadPlan.CalledRoute route = arrival.route();
    LoadPlan.Key key = selectKey(arrival);
    String operation = arrival.account().id() + "." + plan.runId() + "-" + arrival.sequence();
    Attempt attempt =
        new Attempt(
            arrival,
            number,
            operation + "." + number,
            route.unrepeatable() ? operation : null,
            key,
            key != null
                && referenceBuckets.get(arrival.account().id()).tryTake(nanoClock.getAsLong()),
            nowMicros());
    long remainingMillis = remainingMillis(arrival);
    byte[] request =
        WireFormat.request(
            route.method(),
            route.path(),
            arrival.edge(),
            headers(attempt, remainingMillis),
            BODY_FILLER.repeat(route.bodyBytes()).getBytes(StandardCharsets.UTF_8));
    httpClient
        .call(Endpoint.parse(arrival.edge()).toSocketAddress(), request, remainingMillis)
        .whenComplete((response, e) -> onAttemptEnded(attempt, response, e));
  }

  private static LoadPlan.Key selectKey(Arrival arrival) {
    if (arrival.route().open() || arrival.account().keys().isEmpty()) {
      return null;
    }
    int index = (int) (arrival.sequence() % arrival.account().keys().size());
    return arrival.account().keys().get(index);
  }

  private static Map<String, String> headers(Attempt attempt, long remainingMillis) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Bench-Request-Id", attempt.requestId());
    headers.put("Cornelspoke-Deadline-Millis", Long.toString(remainingMillis));
    if (attempt.key() != null) {
      headers.put("Authorization", "Bearer " + attempt.key().key());
    }
    if (attempt.idempotencyKey() != null) {
      headers.put("Idempotency-Key", attempt.idempotencyKey());
    }
    return headers;
  }

  private void onAttemptEnded(Attempt attempt, WireMessage response, Exception error) {
    AttemptRecord result = record(attempt, response, error);
    log.accept(result);
    stats.addAttempt(attempt.arrival(), result);
    if (result.isSuccess()) {
      long dueNanos = startNanos + attempt.arrival().atNanos();
      boolean afterWarmUp = attempt.arrival().atNanos() >= plan.warmupMillis() * 1_000_000;
      long latencyMicros = (nanoClock.getAsLong() - dueNanos) / 1000;
      stats.addCompleted(
          attempt.arrival(), afterWarmUp ? OptionalLong.of(latencyMicros) : OptionalLong.empty());
      unfinishedRequests--;
      return;
    }
    long delayMillis = retryDelayMillis(attempt, result, response);
    if (delayMillis < 0 || delayMillis >= remainingMillis(attempt.arrival())) {
      stats.addGaveUp(attempt.arrival());
      unfinishedRequests--;
      return;
    }
    reactor.delay(delayMillis, () -> attempt(attempt.arrival(), attempt.number() + 1));
  }

  /** Returns the delay before the next attempt, or -1 if the request is not retried. */
  private long retryDelayMillis(Attempt attempt, AttemptRecord result, WireMessage response) {
    boolean retryable = result.status() == 0 || result.status() == 429 || result.status() >= 500;
    if (!retryable || attempt.number() >= plan.retries().maxAttempts()) {
      return -1;
    }
    double jitterFactor = 0.5 + jitterRandom.nextDouble();
    if (plan.retries().honourRetryAfter() && response != null) {
      String retryAfterSeconds = response.header("Retry-After").orElse("");
      if (retryAfterSeconds.matches("[0-9]{1,6}")) {
        return Long.parseLong(retryAfterSeconds) * 1000
            + (long) (jitterFactor * plan.retries().backoffMillis());
      }
    }
    return (long) (jitterFactor * plan.retries().backoffMillis());
  }

  private long remainingMillis(Arrival arrival) {
    long elapsedMillis = (nanoClock.getAsLong() - startNanos - arrival.atNanos()) / 1_000_000;
    return Math.max(1, arrival.route().deadlineMillis() - elapsedMillis);
  }

  private static AttemptRecord record(Attempt attempt, WireMessage response, Exception error) {
    String verdict = response == null ? null : response.header("Cornelspoke-Verdict").orElse(null);
    boolean fromUpstream = response != null && verdict == null && response.status() < 300;
    return new AttemptRecord(
        attempt.sentMicros(),
        nowMicros(),
        attempt.requestId(),
        attempt.arrival().account().id(),
        attempt.arrival().route().name(),
        attempt.arrival().route().trafficClass().name(),
        attempt.key() == null ? null : attempt.key().id(),
        attempt.idempotencyKey(),
        response == null ? 0 : response.status(),
        verdict,
        response == null ? null : response.header("Cornelspoke-Reason").orElse(null),
        error == null ? null : failureName(error),
        fromUpstream ? ResponseBody.requestIdOf(response.body()) : null,
        !fromUpstream || isIntact(response),
        attempt.withinRate());
  }

  private static boolean isIntact(WireMessage response) {
    String announcedSize = response.header("Bench-Body-Bytes").orElse("");
    return announcedSize.matches("[0-9]{1,9}")
        && ResponseBody.isIntact(response.body(), Integer.parseInt(announcedSize))
        && response
            .header("Bench-Request-Id")
            .orElse("")
            .equals(ResponseBody.requestIdOf(response.body()));
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
