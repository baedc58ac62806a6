package org.cornelspoke.coordination.admission;

import org.cornelspoke.util.Assert;

/**
 * Limit that learns the concurrency beyond which an upstream's throughput doesn't grow. The load
 * that it addresses: upstreams that slow down by 1.3 from 95% of their slots on, or from any lower
 * load, beside others that serve all of their slots.
 *
 * <p>While the limit is in use, {@link LimitTrial}s compare it with a lower or higher one. A lower
 * limit is kept if it has about the same throughput, a higher one if its throughput is higher. Mere
 * overload leaves the limit alone, since a lower one then serves less. An observed relation between
 * load and latency would not do: a slow period raises both. While the limit is not in use, nothing
 * is learned.
 *
 * <p>Not safe for use by several threads. Times are monotonic nanoseconds.
 */
public final class LearnedLimit implements ConcurrencyLimit {

  /**
   * Fractions of the slots that are compared. The limit starts below 95%: some upstreams slow down
   * from there on.
   */
  private static final double[] FRACTIONS = {1, 0.95, 0.82, 0.7, 0.6, 0.51, 0.43, 0.37, 0.31, 0.25};

  private static final int START_LEVEL = 1;

  /**
   * Levels by which a trial lowers the limit. The first one tells whether there is a knee at all,
   * and gets past levels at which less is served than at a full limit.
   */
  private static final int[] DOWN_STEPS = {3, 1};

  private static final int UP_STEP = -1;

  /** Full use of the limit before a trial; a slow period of 600 ms must not start one. */
  private static final long MIN_USE_NANOS = 1_000_000_000L;

  /** The same if nothing suggests a knee, since the work time at a low load is unknown. */
  private static final long MIN_USE_WITHOUT_SIGN_NANOS = 4_000_000_000L;

  private static final long MIN_INTERVAL_NANOS = 1_000_000_000L;

  /** Trials at a lower limit cost throughput; at this interval less than 0.5% of it. */
  private static final long MAX_DOWN_INTERVAL_NANOS = 30_000_000_000L;

  private static final long MAX_UP_INTERVAL_NANOS = 8_000_000_000L;

  /** Interval of trials with all slots; they gain 5% at most and often slow the upstream down. */
  private static final long ALL_SLOTS_INTERVAL_NANOS = 30_000_000_000L;

  /** Work time at a full limit, relative to that at a low load, that suggests a knee. */
  private static final double MIN_SLOWNESS = 1.1;

  /** Fraction of the step that a lower limit may cost; a knee costs 0, mere overload all of it. */
  private static final double MAX_LOSS = 0.25;

  /** Fraction of the step that a higher limit must gain. */
  private static final double MIN_GAIN = 0.5;

  /** Trials of one step after which the sign of their mean decides. */
  private static final int MAX_TRIALS = 4;

  /** Fraction of a window's completions at which the limit must be in use. */
  private static final double IN_USE_FRACTION = 0.9;

  private static final double WORK_WEIGHT = 0.05;

  private final double minFraction;
  private final long windowNanos;
  private final int[] limits = new int[FRACTIONS.length];
  private int slots;
  private int level;
  private int inFlight;
  private double meanWorkNanos;
  private LimitTrial trial;
  private int trialStep;
  private int downStepIndex;
  private int trials;
  private double weightedGain;
  private double weightedThreshold;
  private double weightedSlowness;
  private double weight;
  private double slowness = Double.NaN;
  private boolean started;
  private long downIntervalNanos = MIN_INTERVAL_NANOS;
  private long upIntervalNanos = MIN_INTERVAL_NANOS;
  private long nextDownAtNanos;
  private long nextUpAtNanos;
  private long windowStartNanos;
  private int completions;
  private int completionsAtLimit;
  private boolean inUse;
  private long inUseSinceNanos;
  private boolean learned;

  /**
   * Creates a limit that has learned nothing.
   *
   * @param slots announced slots, an upper bound of the limit
   * @param minFraction lower bound of the limit as a fraction of the slots
   * @param windowNanos shortest time over which requests are compared
   */
  public LearnedLimit(int slots, double minFraction, long windowNanos) {
    Assert.isTrue(slots >= 1, "slots must be 1 or more");
    Assert.isTrue(minFraction > 0 && minFraction <= 1, "minFraction must be above 0 and at most 1");
    Assert.isTrue(windowNanos > 0, "windowNanos must be above 0");
    this.slots = slots;
    this.minFraction = minFraction;
    this.windowNanos = windowNanos;
    this.level = Math.min(START_LEVEL, lowestLevel());
    updateLimits();
  }

  @Override
  public int limit() {
    return trial == null ? limitAt(level) : trial.limit();
  }

  /** Returns the learned concurrency, which doesn't vary with trials. */
  public int concurrency() {
    return limitAt(level);
  }

  @Override
  public void setAnnouncedSlots(int newSlots) {
    Assert.isTrue(newSlots >= 1, "slots must be 1 or more");
    if (newSlots != slots) {
      slots = newSlots;
      updateLimits();
      trial = null;
    }
  }

  @Override
  public void onCompleted(long latencyNanos, int usedSlots, Completion completion, long nowNanos) {
    boolean atLimit = usedSlots >= limit();
    completions++;
    completionsAtLimit += atLimit ? 1 : 0;
    if (trial != null) {
      trial.onCompletion(atLimit);
    }
    if (nowNanos - windowStartNanos >= windowNanos) {
      boolean usedUp = completionsAtLimit >= IN_USE_FRACTION * completions;
      if (usedUp && !inUse) {
        inUseSinceNanos = nowNanos;
      }
      inUse = usedUp;
      windowStartNanos = nowNanos;
      completions = 0;
      completionsAtLimit = 0;
    }
  }

  /** Records that a request has been sent to the upstream. */
  void onSent(long nowNanos) {
    inFlight++;
    if (!started) {
      started = true;
      windowStartNanos = nowNanos;
      nextDownAtNanos = nowNanos + MIN_INTERVAL_NANOS;
      nextUpAtNanos = nowNanos + upIntervalNanos();
    }
    if (trial != null) {
      trial.onSent(inFlight, nowNanos);
    } else if (inUse
        && nowNanos - inUseSinceNanos
            >= (Double.isNaN(slowness) ? MIN_USE_WITHOUT_SIGN_NANOS : MIN_USE_NANOS)) {
      startTrialIfDue(nowNanos);
    }
  }

  /**
   * Records the end of a request that was sent.
   *
   * @param workNanos work time, or 0 if unknown
   * @param relativeWork work time as a multiple of the mean of its kind, or NaN if unknown
   */
  void onEnded(long workNanos, double relativeWork, long sentAtNanos, long nowNanos) {
    inFlight--;
    if (workNanos > 0) {
      meanWorkNanos += WORK_WEIGHT * (workNanos - meanWorkNanos);
    }
    if (trial != null) {
      LimitTrial.Result result = trial.onEnded(relativeWork, sentAtNanos, nowNanos);
      if (result == LimitTrial.Result.DISCARDED) {
        discardTrial(nowNanos);
      } else if (result == LimitTrial.Result.MEASURED) {
        evaluate(nowNanos);
      }
    }
  }

  /**
   * Sets the mean work time of requests at a full limit relative to that of requests at a low load,
   * or NaN if one of them is unknown. Near 1 there is no knee below the limit to search for.
   */
  void setSlowness(double newSlowness) {
    slowness = newSlowness;
  }

  /** Ends the running trial without a result. */
  void discardTrial(long nowNanos) {
    if (trial != null) {
      trial = null;
      backOff(nowNanos);
    }
  }

  /**
   * Sets the concurrency that was learned before a restart, within the bounds; ignored once a trial
   * has given a result or another value was adopted.
   */
  void adopt(int concurrency) {
    if (!learned) {
      learned = true;
      level = 0;
      while (level < lowestLevel() && limitAt(level) > concurrency) {
        level++;
      }
    }
  }

  private void startTrialIfDue(long nowNanos) {
    boolean downDue = nowNanos - nextDownAtNanos >= 0 && !(slowness < MIN_SLOWNESS);
    if (downDue && startTrial(DOWN_STEPS[downStepIndex], nowNanos)) {
      return;
    }
    if (nowNanos - nextUpAtNanos >= 0 && !startTrial(UP_STEP, nowNanos)) {
      nextUpAtNanos = nowNanos + ALL_SLOTS_INTERVAL_NANOS;
    }
  }

  private boolean startTrial(int step, long nowNanos) {
    int other = levelAfter(step);
    if (limitAt(other) == limitAt(level)) {
      return false;
    }
    if (step != trialStep) {
      clearTrials();
    }
    trialStep = step;
    trial =
        new LimitTrial(limitAt(level), limitAt(other), windowNanos, (long) meanWorkNanos, nowNanos);
    return true;
  }

  private void evaluate(long nowNanos) {
    learned = true;
    double step = trial.step();
    double trialWeight = 1 / trial.variance();
    trials++;
    weight += trialWeight;
    weightedGain += trialWeight * trial.gain();
    weightedThreshold += trialWeight * (step < 0 ? MAX_LOSS * step : MIN_GAIN * step);
    weightedSlowness += trialWeight * (trial.gain() - step);
    trial = null;
    double margin = (weightedGain - weightedThreshold) / weight;
    if (Math.abs(margin) < Math.sqrt(1 / weight) && trials < MAX_TRIALS) {
      delay(trialStep, 0, nowNanos);
      return;
    }
    boolean noKnee = weightedSlowness / weight < Math.log(MIN_SLOWNESS);
    clearTrials();
    if (margin > 0) {
      level = levelAfter(trialStep);
      downStepIndex = 0;
      downIntervalNanos = MIN_INTERVAL_NANOS;
      upIntervalNanos = MIN_INTERVAL_NANOS;
      delay(UP_STEP, upIntervalNanos(), nowNanos);
      delay(DOWN_STEPS[0], MIN_INTERVAL_NANOS, nowNanos);
      delay(trialStep, 0, nowNanos);
    } else {
      if (noKnee && trialStep == DOWN_STEPS[0]) {
        downIntervalNanos = MAX_DOWN_INTERVAL_NANOS;
      }
      backOff(nowNanos);
    }
  }

  /** Delays the next trial in the direction of the last one, longer each time. */
  private void backOff(long nowNanos) {
    if (trialStep == UP_STEP) {
      delay(trialStep, upIntervalNanos(), nowNanos);
      upIntervalNanos = Math.min(MAX_UP_INTERVAL_NANOS, 2 * upIntervalNanos);
    } else {
      delay(trialStep, downIntervalNanos, nowNanos);
      downStepIndex = (downStepIndex + 1) % DOWN_STEPS.length;
      downIntervalNanos = Math.min(MAX_DOWN_INTERVAL_NANOS, 2 * downIntervalNanos);
    }
  }

  private void delay(int step, long delayNanos, long nowNanos) {
    if (step == UP_STEP) {
      nextUpAtNanos = nowNanos + delayNanos;
    } else {
      nextDownAtNanos = nowNanos + delayNanos;
    }
  }

  private long upIntervalNanos() {
    return level <= START_LEVEL ? ALL_SLOTS_INTERVAL_NANOS : upIntervalNanos;
  }

  private int levelAfter(int step) {
    return Math.max(0, Math.min(lowestLevel(), level + step));
  }

  private void clearTrials() {
    trials = 0;
    weight = 0;
    weightedGain = 0;
    weightedThreshold = 0;
    weightedSlowness = 0;
  }

  private int lowestLevel() {
    int lowest = 0;
    while (lowest + 1 < FRACTIONS.length && FRACTIONS[lowest + 1] >= minFraction) {
      lowest++;
    }
    return lowest;
  }

  private int limitAt(int index) {
    return limits[index];
  }

  private void updateLimits() {
    int minLimit = Math.min(slots, Math.max(1, (int) Math.ceil(minFraction * slots)));
    for (int i = 0; i < FRACTIONS.length; i++) {
      limits[i] = Math.max(minLimit, new FixedLimit(slots, FRACTIONS[i]).limit());
    }
  }
}
