package org.cornelspoke.coordination.admission;

import java.util.Arrays;
import org.cornelspoke.util.Assert;

/**
 * Mean work time of an upstream for each kind of request. The load that it addresses: requests of
 * kinds that differ tenfold in length at one upstream, and periods of 600 ms in which the upstream
 * is 2.5 times slower.
 *
 * <p>The estimate of a kind is the median of the means of its last windows. A slow period covers
 * less than half of them and doesn't change the median; a lasting change does after about a second.
 *
 * <p>Not safe for use by several threads. Times are monotonic nanoseconds.
 */
final class WorkTimes {

  /** Windows that the median covers; more than twice the windows of a slow period of 600 ms. */
  private static final int MEDIAN_WINDOWS = 21;

  /** Minimum samples of a window; the mean of fewer follows single requests. */
  private static final int MIN_SAMPLES = 3;

  private static final class KindTimes {
    private final double[] windowMeans = new double[MEDIAN_WINDOWS];
    private final double[] sorted = new double[MEDIAN_WINDOWS];
    private int windowCount;
    private int nextWindow;
    private long windowStartNanos;
    private int samples;
    private double sumNanos;
    private double medianNanos;

    private void record(double workNanos, long nowNanos, long windowNanos) {
      if (samples == 0) {
        windowStartNanos = nowNanos;
      }
      samples++;
      sumNanos += workNanos;
      if (samples >= MIN_SAMPLES
          && (windowCount == 0 || nowNanos - windowStartNanos >= windowNanos)) {
        windowMeans[nextWindow] = sumNanos / samples;
        nextWindow = (nextWindow + 1) % MEDIAN_WINDOWS;
        windowCount = Math.min(MEDIAN_WINDOWS, windowCount + 1);
        discardWindow();
        System.arraycopy(windowMeans, 0, sorted, 0, windowCount);
        Arrays.sort(sorted, 0, windowCount);
        medianNanos = sorted[windowCount / 2];
      }
    }

    private void discardWindow() {
      samples = 0;
      sumNanos = 0;
    }
  }

  private final KindTimes[] kinds = new KindTimes[WorkKind.COUNT];
  private final long windowNanos;

  WorkTimes(long windowNanos) {
    Assert.isTrue(windowNanos > 0, "windowNanos must be above 0");
    this.windowNanos = windowNanos;
    Arrays.setAll(kinds, i -> new KindTimes());
  }

  /** Adds the work time of a request. */
  void record(WorkKind kind, long workNanos, long nowNanos) {
    kinds[kind.index()].record((double) workNanos, nowNanos, windowNanos);
  }

  /** Sets the work time of a kind unless it has been measured. */
  void adopt(WorkKind kind, long workNanos) {
    KindTimes times = kinds[kind.index()];
    if (times.windowCount == 0) {
      times.medianNanos = workNanos;
    }
  }

  /** Discards the samples of windows that are not complete. */
  void discardWindows() {
    for (KindTimes times : kinds) {
      times.discardWindow();
    }
  }

  /** Returns the work time of a kind, or 0 if it is unknown. */
  double meanNanos(WorkKind kind) {
    return kinds[kind.index()].medianNanos;
  }
}
