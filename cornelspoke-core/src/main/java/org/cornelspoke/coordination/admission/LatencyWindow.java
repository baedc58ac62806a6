package org.cornelspoke.coordination.admission;

/** Completions within one sampling window of a concurrency limit. */
final class LatencyWindow {

  /** Minimum length; shorter windows follow the noise of single requests. */
  private static final long MIN_DURATION_NANOS = 100_000_000L;

  /** Windows with fewer samples are extended up to {@link #MAX_DURATION_NANOS}. */
  private static final int MIN_SAMPLES = 10;

  private static final long MAX_DURATION_NANOS = 1_000_000_000L;

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
        // A cancellation by the caller carries no information about the upstream.
      }
    }
  }

  boolean isComplete(long nowNanos) {
    long elapsedNanos = nowNanos - startNanos;
    return sampleCount() > 0
        && (elapsedNanos >= MAX_DURATION_NANOS
            || (elapsedNanos >= MIN_DURATION_NANOS && sampleCount() >= MIN_SAMPLES));
  }

  void reset(long nowNanos) {
    startNanos = nowNanos;
    successes = 0;
    failures = 0;
    rejections = 0;
    maxInFlight = 0;
    latencySumNanos = 0;
  }

  int sampleCount() {
    return successes + failures + rejections;
  }

  boolean hasLatency() {
    return successes > 0;
  }

  double meanLatencyNanos() {
    return latencySumNanos / successes;
  }

  double rejectedFraction() {
    return (double) rejections / sampleCount();
  }

  int maxInFlight() {
    return maxInFlight;
  }
}
