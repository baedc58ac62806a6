package org.cornelspoke.coordination.admission;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.TrafficClass;

/**
 * Computes for each root class and account the fraction of their requests for which one upstream
 * has capacity: classes strictly in order, and inside a class max-min fair among accounts.
 *
 * <p>Made for a called service that gets more work than it can do from many callers, where a
 * refusal at the service itself would waste the work done above it. Each call tells what fraction
 * of its kind the root admitted, so the demand is known as it was before refusals at the root, and
 * the fraction reported doesn't depend on the fractions reported before. The loop through the
 * callers is therefore open, and a delay in it causes no oscillation.
 *
 * <p>Not safe for use by several threads. Times are monotonic nanoseconds.
 */
public final class RoomEstimator {

  private static final long WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** A window that lasted longer, because the process was paused, says nothing about demand. */
  private static final long MAX_WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /**
   * The capacity counted is raised by at most this part per window while slots stay free although
   * requests are refused, as when callers state too small a fraction. A rise over seconds is slow
   * against the delay of the reports.
   */
  private static final double CORRECTION_GAIN = 0.05;

  private static final double CORRECTION_DECAY = 0.9;
  private static final double MAX_CORRECTION = 8;

  /** Time in which calls that wait at the gate, after a sudden rise of load, are worked off. */
  private static final double BACKLOG_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final double PERCENT = 100;

  private final double targetUtilisation;
  private final Map<TrafficClass, ClassDemand> classes = new EnumMap<>(TrafficClass.class);
  private double correction = 1;
  private long windowStartNanos;

  /** Creates an estimator that reports capacity for all requests until it has measured. */
  public RoomEstimator(double targetUtilisation, long nowNanos) {
    this.targetUtilisation = targetUtilisation;
    this.windowStartNanos = nowNanos;
    for (TrafficClass trafficClass : TrafficClass.values()) {
      classes.put(trafficClass, new ClassDemand());
    }
  }

  /**
   * Counts a request at its arrival, whether it is admitted or not.
   *
   * @param admittedFraction fraction of such requests that the root admitted; 1 for a root request
   */
  public void onArrival(GateRequest request, double admittedFraction) {
    classes.get(request.trafficClass()).onArrival(request, admittedFraction);
  }

  /** Records the time for which a request held its slot. */
  public void onServed(GateRequest request, long heldNanos) {
    classes.get(request.trafficClass()).onServed(request.begun(), heldNanos);
  }

  /** Ends the window of measurement if it is due. */
  public void onTick(GateLoad load, long nowNanos) {
    long elapsedNanos = nowNanos - windowStartNanos;
    if (elapsedNanos < WINDOW_NANOS) {
      return;
    }
    windowStartNanos = nowNanos;
    if (elapsedNanos > MAX_WINDOW_NANOS) {
      classes.values().forEach(ClassDemand::discardWindow);
      return;
    }
    double usedSlots = 0;
    for (ClassDemand demand : classes.values()) {
      demand.endWindow(elapsedNanos);
      usedSlots += demand.usedSlots();
    }
    double target = targetUtilisation * load.limit();
    correct(usedSlots, target, load.queued());
    double capacity = Math.max(0, target * correction - backlogSlots(load));
    for (ClassDemand demand : classes.values()) {
      capacity = demand.allocate(capacity);
    }
  }

  /** Returns the fraction of the requests of the class and account for which there is capacity. */
  public double room(TrafficClass trafficClass, AccountId account) {
    return classes.get(trafficClass).room(account);
  }

  /** Returns the fraction of the requests of the class for which there is capacity. */
  public double room(TrafficClass trafficClass) {
    return classes.get(trafficClass).room();
  }

  /** Returns the part of the slot time in use that requests of the class take. */
  public double slotTimeShare(TrafficClass trafficClass) {
    double usedSlots = 0;
    for (ClassDemand demand : classes.values()) {
      usedSlots += demand.usedSlots();
    }
    return usedSlots == 0 ? 0 : classes.get(trafficClass).usedSlots() / usedSlots;
  }

  /** Returns the number of accounts of which state is kept. */
  public int accountCount() {
    int count = 0;
    for (ClassDemand demand : classes.values()) {
      count += demand.accountCount();
    }
    return count;
  }

  /** Returns the slots that work off the waiting calls within the time for that. */
  private double backlogSlots(GateLoad load) {
    double slotNanos = 0;
    for (ClassDemand demand : classes.values()) {
      slotNanos = Math.max(slotNanos, demand.begunSlotNanos());
    }
    double waiting = load.pressurePercent() * load.limit() / PERCENT;
    return waiting * slotNanos / BACKLOG_NANOS;
  }

  private void correct(double usedSlots, double target, int queued) {
    boolean limited = false;
    for (ClassDemand demand : classes.values()) {
      limited |= demand.room() < 1;
    }
    if (queued > 0 || usedSlots >= target) {
      correction = Math.max(1, correction * CORRECTION_DECAY);
    } else if (limited) {
      double free = (target - usedSlots) / target;
      correction = Math.min(MAX_CORRECTION, correction * (1 + CORRECTION_GAIN * free));
    }
  }
}
