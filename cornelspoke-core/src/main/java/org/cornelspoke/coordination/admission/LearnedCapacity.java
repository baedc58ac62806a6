package org.cornelspoke.coordination.admission;

import java.util.concurrent.TimeUnit;
import org.cornelspoke.util.Assert;

/**
 * Learns the concurrency and the work times of one upstream process from its requests. Time that a
 * request spends in its own calls, errors, and pauses of the daemon's own event loop don't count.
 *
 * <p>Not safe for use by several threads. Times are monotonic nanoseconds.
 */
public final class LearnedCapacity {

  /** Time in nested calls of a request that made calls of unknown duration. */
  public static final long UNKNOWN_NESTED_NANOS = -1;

  /** Time between two ticks with requests in flight that counts as a pause of the event loop. */
  private static final long MAX_TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private static final double MIN_WORK_NANOS = 1_000;

  /** Fraction of the concurrency below which an upstream is assumed not to slow down. */
  private static final double LOW_LOAD_FRACTION = 0.5;

  /** Fraction of the concurrency above which requests count for the slowness at a full limit. */
  private static final double FULL_LOAD_FRACTION = 0.9;

  private static final double SLOWNESS_WEIGHT = 0.02;

  private final LearnedLimit limit;
  private final WorkTimes workTimes;
  private final WorkTimes lowLoadTimes;
  private double slowness = Double.NaN;
  private long lastAboveLowNanos = Long.MIN_VALUE;
  private long lastBelowFullNanos = Long.MIN_VALUE;
  private int inFlight;

  /** True while ticks are expected, since requests are in flight. */
  private boolean watching;

  private long lastTickNanos;
  private long validSinceNanos = Long.MIN_VALUE;

  /** Creates an estimate without samples that feeds the given limit. */
  public LearnedCapacity(LearnedLimit limit, long windowNanos) {
    this.limit = Assert.notNull(limit, "limit");
    this.workTimes = new WorkTimes(windowNanos);
    this.lowLoadTimes = new WorkTimes(windowNanos);
  }

  /** Records that a request has been sent to the upstream. */
  public void onSent(long nowNanos) {
    detectPause(nowNanos);
    inFlight++;
    if (!watching) {
      watching = true;
      lastTickNanos = nowNanos;
    }
    limit.onSent(nowNanos);
    trackLoad(nowNanos);
  }

  /**
   * Records the end of a request that was sent.
   *
   * @param nestedNanos time for which the request waited for calls that it made, or {@link
   *     #UNKNOWN_NESTED_NANOS}
   */
  public void onEnded(
      WorkKind kind, long sentAtNanos, long nestedNanos, Completion completion, long nowNanos) {
    detectPause(nowNanos);
    boolean lowLoad = lastAboveLowNanos == Long.MIN_VALUE || sentAtNanos - lastAboveLowNanos > 0;
    boolean fullLoad = lastBelowFullNanos != Long.MIN_VALUE && sentAtNanos - lastBelowFullNanos > 0;
    inFlight--;
    trackLoad(nowNanos);
    boolean valid = validSinceNanos == Long.MIN_VALUE || sentAtNanos - validSinceNanos >= 0;
    if (completion != Completion.SUCCESS || nestedNanos < 0 || !valid) {
      limit.onEnded(0, Double.NaN, sentAtNanos, nowNanos);
      return;
    }
    long workNanos = Math.max(0, nowNanos - sentAtNanos - nestedNanos);
    double meanNanos = workTimes.meanNanos(kind);
    workTimes.record(kind, workNanos, nowNanos);
    compareLoads(kind, workNanos, lowLoad, fullLoad, nowNanos);
    limit.onEnded(
        workNanos,
        meanNanos < MIN_WORK_NANOS ? Double.NaN : workNanos / meanNanos,
        sentAtNanos,
        nowNanos);
  }

  /** Detects pauses of the event loop; called every few milliseconds while requests are pending. */
  public void onTick(long nowNanos) {
    detectPause(nowNanos);
    watching = inFlight > 0;
    lastTickNanos = nowNanos;
  }

  /**
   * Adopts what a caller remembers from before a restart of this daemon. Values out of bounds are
   * bounded, measured values are kept, and of several reports the first counts for the limit.
   */
  public void adopt(WorkKind kind, int concurrency, long workNanos) {
    limit.adopt(concurrency);
    if (workNanos > 0) {
      workTimes.adopt(kind, workNanos);
    }
  }

  /** Returns the concurrency beyond which the throughput doesn't grow. */
  public int concurrency() {
    return limit.concurrency();
  }

  /** Returns the mean work time of a kind, or 0 if it is unknown. */
  public long workNanos(WorkKind kind) {
    return (long) workTimes.meanNanos(kind);
  }

  private void trackLoad(long nowNanos) {
    if (inFlight > LOW_LOAD_FRACTION * limit.concurrency()) {
      lastAboveLowNanos = nowNanos;
    }
    if (inFlight < FULL_LOAD_FRACTION * limit.concurrency()) {
      lastBelowFullNanos = nowNanos;
    }
  }

  /**
   * Compares the work times of requests that ran at a low load all the time with those of requests
   * that ran at a full limit all the time.
   */
  private void compareLoads(
      WorkKind kind, long workNanos, boolean lowLoad, boolean fullLoad, long nowNanos) {
    if (lowLoad) {
      lowLoadTimes.record(kind, workNanos, nowNanos);
    }
    double lowLoadNanos = lowLoadTimes.meanNanos(kind);
    if (fullLoad && lowLoadNanos >= MIN_WORK_NANOS) {
      double relative = workNanos / lowLoadNanos;
      slowness =
          Double.isNaN(slowness) ? relative : slowness + SLOWNESS_WEIGHT * (relative - slowness);
      limit.setSlowness(slowness);
    }
  }

  /** After a pause, the ends of requests are processed late, also before the next tick. */
  private void detectPause(long nowNanos) {
    if (watching && nowNanos - lastTickNanos > MAX_TICK_INTERVAL_NANOS) {
      validSinceNanos = nowNanos;
      watching = false;
      workTimes.discardWindows();
      limit.discardTrial(nowNanos);
    }
  }
}
