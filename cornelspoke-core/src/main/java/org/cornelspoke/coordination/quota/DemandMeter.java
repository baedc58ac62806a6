package org.cornelspoke.coordination.quota;

import org.cornelspoke.model.TrafficClass;

/**
 * Estimates arrivals per second. The estimate is a smoothed rate, which is replaced by the rate of
 * the last slots when these show a change of demand.
 */
final class DemandMeter {

  /**
   * Weight of a window of one report interval; effectively averages about one second of arrivals.
   */
  private static final double SMOOTHING_WEIGHT = 0.15;

  /** Standard deviations of a Poisson count beyond which the last slots indicate a change. */
  private static final double CHANGE_THRESHOLD_DEVIATIONS = 3;

  /**
   * Slots are short so that a holder that has just lost its demand can return its share at once.
   */
  private static final long SLOT_NANOS = 20_000_000L;

  private static final int SLOTS = 3;
  private static final double NANOS_PER_SECOND = 1e9;

  private final int[] slots = new int[SLOTS];
  private long slotStartNanos;
  private int filledSlots = 1;
  private double perSecond;
  private ClassAmounts classWeights = ClassAmounts.NONE;
  private int arrivals;
  private long windowStartNanos;

  DemandMeter(long nowNanos) {
    windowStartNanos = nowNanos;
    slotStartNanos = nowNanos;
  }

  void onArrival(TrafficClass trafficClass, long nowNanos) {
    advance(nowNanos);
    arrivals++;
    classWeights = classWeights.plus(trafficClass, 1);
    slots[0]++;
  }

  /** Counts requests that arrived together. */
  void onArrivals(ClassAmounts requests, long nowNanos) {
    advance(nowNanos);
    int count = (int) Math.round(requests.total());
    arrivals += count;
    classWeights = classWeights.plus(requests);
    slots[0] += count;
  }

  boolean windowIsOlderThan(long ageNanos, long nowNanos) {
    return nowNanos - windowStartNanos >= ageNanos;
  }

  /** Ends the window and starts the next one. */
  void rollWindow(long nowNanos) {
    double seconds = (nowNanos - windowStartNanos) / NANOS_PER_SECOND;
    if (seconds <= 0) {
      return;
    }
    double expected = perSecond * seconds;
    boolean changed = isDemandChange(arrivals, expected);
    perSecond += (changed ? 1 : SMOOTHING_WEIGHT) * (arrivals / seconds - perSecond);
    arrivals = 0;
    classWeights = classWeights.times(1 - SMOOTHING_WEIGHT);
    windowStartNanos = nowNanos;
  }

  /** Returns the estimated arrivals per second. */
  double perSecond(long nowNanos) {
    advance(nowNanos);
    double seconds =
        ((filledSlots - 1) * SLOT_NANOS + (nowNanos - slotStartNanos)) / NANOS_PER_SECOND;
    int recent = 0;
    for (int count : slots) {
      recent += count;
    }
    return isDemandChange(recent, perSecond * seconds)
        ? recent / Math.max(SLOT_NANOS / NANOS_PER_SECOND, seconds)
        : perSecond;
  }

  /**
   * Returns the estimate, split by class in proportion to the arrivals of about the last second.
   */
  ClassAmounts perSecondByClass(long nowNanos) {
    double sum = classWeights.total();
    return sum <= 0 ? ClassAmounts.NONE : classWeights.times(perSecond(nowNanos) / sum);
  }

  private static boolean isDemandChange(int count, double expected) {
    return Math.abs(count - expected)
        > CHANGE_THRESHOLD_DEVIATIONS * Math.sqrt(Math.max(1, expected));
  }

  private void advance(long nowNanos) {
    long elapsedSlots = (nowNanos - slotStartNanos) / SLOT_NANOS;
    if (elapsedSlots <= 0) {
      return;
    }
    for (long i = 0; i < Math.min(elapsedSlots, SLOTS); i++) {
      System.arraycopy(slots, 0, slots, 1, SLOTS - 1);
      slots[0] = 0;
    }
    filledSlots = (int) Math.min(SLOTS, filledSlots + elapsedSlots);
    slotStartNanos += elapsedSlots * SLOT_NANOS;
  }
}
