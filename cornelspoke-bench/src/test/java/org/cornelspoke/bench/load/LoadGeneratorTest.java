package org.cornelspoke.bench.load;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.cornelspoke.bench.http.LoopThread;
import org.cornelspoke.bench.http.ResponseBody;
import org.cornelspoke.bench.http.WireExchange;
import org.cornelspoke.bench.http.WireFormat;
import org.cornelspoke.bench.http.WireServer;
import org.cornelspoke.model.TrafficClass;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a load generator that counts a wrong or missing response as a success. */
class LoadGeneratorTest {

  private static final InetSocketAddress LOOPBACK =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

  private static final long WARMUP_MILLIS = 100;

  private final LoopThread thread = new LoopThread("test");
  private final List<AttemptRecord> attempts = new ArrayList<>();
  private final AtomicLong clockNanos = new AtomicLong();
  private WireServer server;
  private LoadGenerator generator;

  @AfterEach
  void stop() {
    thread.call(
        () -> {
          generator.close();
          server.stop();
          return null;
        });
    thread.stop();
  }

  @Test
  void latencyIncludesAStallOfTheGenerator() {
    // The clock is 250 ms past the intended send time, as after a stall of the generator.
    start(1, 1, LoadGeneratorTest::respondCorrectly);
    clockNanos.set(350_000_000);

    send(entries(), 1);

    assertThat(generator.stats().total().completed).isEqualTo(1);
    assertThat(generator.stats().total().latencyMicros.getMaxValue()).isAtLeast(250_000L);
    assertThat(attempts.get(0).isSuccess()).isTrue();
    assertThat(attempts.get(0).idempotencyKey()).isEqualTo("a.t-0");
  }

  @Test
  void excludesTheWarmUpFromTheLatencies() {
    start(1, 1, LoadGeneratorTest::respondCorrectly);

    send(entries(), 1, 0);

    assertThat(generator.stats().total().completed).isEqualTo(1);
    assertThat(generator.stats().total().latencyMicros.getTotalCount()).isEqualTo(0);
  }

  @Test
  void detectsAResponseToAnotherRequest() {
    start(1, 1, exchange -> respond(exchange, "a.t-9.1", 100, 100));

    send(files(), 1);

    assertThat(generator.stats().total().wrongResponses).isEqualTo(1);
    assertThat(generator.stats().total().completed).isEqualTo(0);
  }

  @Test
  void acceptsTheStoredResponseOfAnotherAttempt() {
    start(1, 1, exchange -> respond(exchange, "a.t-0.7", 100, 100));

    send(entries(), 1);

    assertThat(generator.stats().total().wrongResponses).isEqualTo(0);
  }

  @Test
  void detectsATruncatedBody() {
    start(1, 1, exchange -> respond(exchange, id(exchange), 50, 100));

    send(files(), 1);

    assertThat(generator.stats().total().wrongResponses).isEqualTo(1);
  }

  @Test
  void detectsAConnectionClosedInsideTheResponse() {
    start(
        1,
        1,
        exchange -> {
          byte[] whole = WireFormat.response(200, Map.of(), new byte[100]);
          exchange.sendRawAndClose(Arrays.copyOf(whole, whole.length - 10));
        });

    send(files(), 1);

    assertThat(generator.stats().total().failures).containsExactly("TRUNCATED", 1L);
  }

  @Test
  void countsOnlyRefusalsWithinTheRateAsWrongful() {
    // The burst is 2 and the clock does not advance, so the third request exceeds the rate.
    start(1, 2, exchange -> refuse(exchange, "1"));

    send(entries(), 3);

    GroupStats total = generator.stats().total();
    assertThat(total.refusals).containsExactly("rate not-run", 3L);
    assertThat(total.withinRate).isEqualTo(2);
    assertThat(total.wrongfulRefusals()).isEqualTo(2);
  }

  @Test
  void refusingOtherRequestsThanTheReferenceBucketIsNotWrongful() {
    // A single bucket would admit the first two of four requests; the server admits the last two.
    AtomicLong count = new AtomicLong();
    start(
        1,
        2,
        exchange -> {
          if (count.incrementAndGet() <= 2) {
            refuse(exchange, "1");
          } else {
            respondCorrectly(exchange);
          }
        });

    send(entries(), 4);

    assertThat(generator.stats().total().rateRefusals).isEqualTo(2);
    assertThat(generator.stats().total().wrongfulRefusals()).isEqualTo(0);
  }

  @Test
  void retriesWithTheSameIdempotencyKeyUntilTheLimit() {
    start(3, 100, exchange -> refuse(exchange, "0"));

    send(entries(), 1);

    assertThat(attempts.stream().map(AttemptRecord::requestId).toList())
        .containsExactly("a.t-0.1", "a.t-0.2", "a.t-0.3")
        .inOrder();
    assertThat(attempts.stream().map(AttemptRecord::idempotencyKey).distinct().toList())
        .containsExactly("a.t-0");
    assertThat(generator.stats().total().gaveUp).isEqualTo(1);
  }

  @Test
  void givesUpWhenRetryAfterIsBeyondTheDeadline() {
    start(3, 100, exchange -> refuse(exchange, "3600"));

    send(entries(), 1);

    assertThat(attempts).hasSize(1);
  }

  private void start(int maxAttempts, double burst, Consumer<WireExchange> handler) {
    server = new WireServer(thread.loop(), LOOPBACK, handler);
    generator =
        thread.call(
            () -> {
              server.start();
              LoadPlan plan =
                  new LoadPlan(
                      "t",
                      1,
                      1000,
                      WARMUP_MILLIS,
                      List.of("127.0.0.1:" + server.port()),
                      List.of(caller(burst)),
                      List.of(entries(), files()),
                      new LoadPlan.Retries(maxAttempts, true, 0),
                      null);
              return new LoadGenerator(thread.loop(), plan, attempts::add, clockNanos::get);
            });
  }

  private void send(LoadPlan.CalledRoute route, int count) {
    send(route, count, WARMUP_MILLIS * 1_000_000);
  }

  private void send(LoadPlan.CalledRoute route, int count, long dueNanos) {
    thread.call(
        () -> {
          for (int i = 0; i < count; i++) {
            String edge = "127.0.0.1:" + server.port();
            generator.send(new Arrival(i, dueNanos, caller(1), route, edge));
          }
          return null;
        });
    while (thread.call(generator::unfinishedRequests) > 0) {
      Thread.onSpinWait();
    }
  }

  private static LoadPlan.Caller caller(double burst) {
    return new LoadPlan.Caller(
        "a", List.of(new LoadPlan.Key("a-1", "secret")), 1, 1, burst, Map.of());
  }

  private static LoadPlan.CalledRoute entries() {
    return new LoadPlan.CalledRoute(
        "entries", "POST", "/e", TrafficClass.CRITICAL, 1, true, false, 30_000, 10);
  }

  private static LoadPlan.CalledRoute files() {
    return new LoadPlan.CalledRoute(
        "files", "GET", "/f", TrafficClass.BULK, 1, false, true, 30_000, 0);
  }

  private static String id(WireExchange exchange) {
    return exchange.request().header("Bench-Request-Id").orElse("");
  }

  private static void respondCorrectly(WireExchange exchange) {
    boolean keyed = exchange.request().header("Authorization").orElse("").equals("Bearer secret");
    respond(exchange, keyed ? id(exchange) : "no key", 100, 100);
  }

  private static void respond(WireExchange exchange, String id, int bytes, int announcedBytes) {
    exchange.respond(
        200,
        Map.of("Bench-Request-Id", id, "Bench-Body-Bytes", Integer.toString(announcedBytes)),
        ResponseBody.create(id, bytes));
  }

  private static void refuse(WireExchange exchange, String retryAfter) {
    exchange.respond(
        429,
        Map.of(
            "Cornelspoke-Verdict",
            "not-run",
            "Cornelspoke-Reason",
            "rate",
            "Retry-After",
            retryAfter),
        "refused".getBytes(StandardCharsets.UTF_8));
  }
}
