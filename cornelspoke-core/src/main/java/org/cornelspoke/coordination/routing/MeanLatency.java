package org.cornelspoke.coordination.routing;

/** Mean latency of one request kind over all targets, the reference for single targets. */
final class MeanLatency {

  /** Minimum weight of a sample; the mean follows the service within some hundred requests. */
  private static final double MIN_SAMPLE_WEIGHT = 0.02;

  /** Bounds outliers: a few requests take several times the mean latency at any target. */
  private static final double MAX_RELATIVE_LATENCY = 5;

  private double meanNanos;
  private int sampleCount;

  /** Adds a latency to the mean and returns it as a multiple of the mean. */
  double recordRelative(long latencyNanos) {
    sampleCount++;
    meanNanos += Math.max(MIN_SAMPLE_WEIGHT, 1.0 / sampleCount) * (latencyNanos - meanNanos);
    return meanNanos <= 0 ? 1 : Math.min(MAX_RELATIVE_LATENCY, latencyNanos / meanNanos);
  }
}
