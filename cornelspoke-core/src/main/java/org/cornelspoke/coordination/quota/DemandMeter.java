package org.cornelspoke.coordination.quota;

/** Estimates arrivals per second from counts in windows of one report interval. */
final class DemandMeter {

  /** Weight of a window; about one second of arrivals counts. */
  private static final double WEIGHT = 0.15;

  /** Standard deviations of a Poisson count beyond which a window shows a change of demand. */
  private static final double JUMP_DEVIATIONS = 3;

  private static final double NANOS_PER_SECOND = 1e9;

  private double perSecond;
  private int arrivals;
  private long windowStartNanos;

  DemandMeter(long nowNanos) {
    windowStartNanos = nowNanos;
  }

  void onArrival() {
    arrivals++;
  }

  boolean windowIsOlderThan(long ageNanos, long nowNanos) {
    return nowNanos - windowStartNanos >= ageNanos;
  }

  /** Ends the window and starts the next one. */
  void roll(long nowNanos) {
    double seconds = (nowNanos - windowStartNanos) / NANOS_PER_SECOND;
    if (seconds <= 0) {
      return;
    }
    double expected = perSecond * seconds;
    double difference = arrivals - expected;
    double tolerance = JUMP_DEVIATIONS * Math.sqrt(Math.max(1, expected));
    double weight = Math.abs(difference) > tolerance ? 1 : WEIGHT;
    perSecond += weight * (arrivals / seconds - perSecond);
    arrivals = 0;
    windowStartNanos = nowNanos;
  }

  /** Returns the estimate; at least what has arrived since the window began. */
  double perSecond(long nowNanos) {
    double seconds = Math.max(0.05, (nowNanos - windowStartNanos) / NANOS_PER_SECOND);
    double current = arrivals / seconds;
    boolean jump =
        arrivals > perSecond * seconds + JUMP_DEVIATIONS * Math.sqrt(perSecond * seconds) + 2;
    return jump ? current : perSecond;
  }
}
