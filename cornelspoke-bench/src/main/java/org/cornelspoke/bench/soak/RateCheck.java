package org.cornelspoke.bench.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cornelspoke.bench.load.AttemptRecord;
import org.cornelspoke.bench.load.LoadPlan;
import org.cornelspoke.bench.upstream.RequestEvent;

/**
 * Proves that an account exceeded its bound. The moment of admission is in no log, but it lies
 * between the moment when the caller sent the request and the moment when it began to run. So every
 * request that was sent at or after a and began by b was admitted within [a, b], and more than
 * {@code burst + rate * (b - a)} of them are a violation whatever the queues did.
 */
final class RateCheck {

  private static final double MICROS_PER_SECOND = 1e6;
  // The wall clock may step by some microseconds between two processes of one machine.
  private static final double TOLERANCE_TOKENS = 0.01;

  private RateCheck() {}

  static CheckResult check(SoakLogs logs) {
    Map<String, AttemptRecord> attempts = logs.attemptsById();
    Map<String, Long> firstStart = new LinkedHashMap<>();
    for (RequestEvent event : logs.rootStarts()) {
      firstStart.merge(String.valueOf(event.requestId()), event.atMicros(), Math::min);
    }
    Map<String, List<Span>> spans = new LinkedHashMap<>();
    firstStart.forEach(
        (id, started) -> {
          AttemptRecord attempt = attempts.get(id);
          if (attempt != null && attempt.keyId() != null) {
            spans
                .computeIfAbsent(attempt.account(), key -> new ArrayList<>())
                .add(new Span(attempt.sentMicros(), started));
          }
        });
    List<String> violations = new ArrayList<>();
    for (LoadPlan.Caller account : logs.plan().accounts()) {
      findViolation(account, spans.getOrDefault(account.id(), List.of()), violations);
    }
    return new CheckResult(
        "rate and burst of each account",
        spans.values().stream().mapToLong(List::size).sum(),
        violations);
  }

  /** Reports the window with the largest excess. */
  private static void findViolation(
      LoadPlan.Caller account, List<Span> spans, List<String> violations) {
    List<Span> byStart = new ArrayList<>(spans);
    byStart.sort(Comparator.comparingLong(Span::startedMicros));
    double worst = TOLERANCE_TOKENS;
    String worstText = null;
    for (Span first : spans) {
      long from = first.sentMicros();
      long count = 0;
      for (Span span : byStart) {
        if (span.sentMicros() < from) {
          continue;
        }
        count++;
        double seconds = Math.max(0, span.startedMicros() - from) / MICROS_PER_SECOND;
        double excess = count - account.burstTokens() - account.rateTokensPerSecond() * seconds;
        if (excess > worst) {
          worst = excess;
          worstText =
              String.format(
                  "account %s: %d requests were admitted within %.6f s, bound %.1f",
                  account.id(), count, seconds, count - excess);
        }
      }
    }
    if (worstText != null) {
      violations.add(worstText);
    }
  }

  private record Span(long sentMicros, long startedMicros) {}
}
