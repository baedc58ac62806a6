package org.cornelspoke.coordination.routing;

/** Mean latency of one kind of work over all targets, against which one target is compared. */
final class MeanLatency {

  /** Least weight of a sample; changes of the whole service show within some hundred requests. */
  private static final double WEIGHT = 0.02;

  /** A few requests take several times as long as usual at any target. */
  private static final double MAX_RELATIVE = 5;

  private double meanNanos;
  private int samples;

  /** Counts a latency and returns it as a multiple of the mean. */
  double relative(long latencyNanos) {
    samples++;
    meanNanos += Math.max(WEIGHT, 1.0 / samples) * (latencyNanos - meanNanos);
    return meanNanos <= 0 ? 1 : Math.min(MAX_RELATIVE, latencyNanos / meanNanos);
  }
}
