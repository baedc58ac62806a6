package org.cornelspoke.coordination.admission;

/** Completions of one measurement window of a concurrency limit. */
final class LatencyWindow {

  /** Shortest window. Shorter ones follow the noise of single requests. */
  private static final long MIN_NANOS = 100_000_000L;

  /** A window with fewer samples is extended, up to {@link #MAX_NANOS}. */
  private static final int MIN_SAMPLES = 10;

  private static final long MAX_NANOS = 1_000_000_000L;

  private long startNanos;
  private int successes;
  private int failures;
  private int rejections;
  private int maxInFlight;
  private double latencySumNanos;

  LatencyWindow(long startNanos) {
    this.startNanos = startNanos;
  }

  void add(long latencyNanos, int inFlight, Completion completion) {
    maxInFlight = Math.max(maxInFlight, inFlight);
    switch (completion) {
      case SUCCESS -> {
        successes++;
        latencySumNanos += latencyNanos;
      }
      case FAILURE -> failures++;
      case TIMEOUT, SHED -> rejections++;
      case CANCELLED -> {
        // The caller left, which says nothing about the upstream.
      }
    }
  }

  boolean isComplete(long nowNanos) {
    long age = nowNanos - startNanos;
    return samples() > 0 && (age >= MAX_NANOS || (age >= MIN_NANOS && samples() >= MIN_SAMPLES));
  }

  void reset(long nowNanos) {
    startNanos = nowNanos;
    successes = 0;
    failures = 0;
    rejections = 0;
    maxInFlight = 0;
    latencySumNanos = 0;
  }

  int samples() {
    return successes + failures + rejections;
  }

  boolean hasLatency() {
    return successes > 0;
  }

  double meanLatencyNanos() {
    return latencySumNanos / successes;
  }

  double rejectedPart() {
    return (double) rejections / samples();
  }

  int maxInFlight() {
    return maxInFlight;
  }
}
