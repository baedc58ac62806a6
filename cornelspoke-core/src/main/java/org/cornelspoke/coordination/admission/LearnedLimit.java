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

  /** Steps that skip levels get past a knee where one level less lowers the throughput. */
  private static final int[] STEPS = {1, -1, 3};

  private static final long MIN_INTERVAL_NANOS = 500_000_000L;

  /** Trials at a lower limit cost throughput; at this interval less than 1% of it. */
  private static final long MAX_INTERVAL_NANOS = 8_000_000_000L;

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
  private int stepIndex;
  private int trials;
  private double weightedGain;
  private double weightedThreshold;
  private double weight;
  private long intervalNanos = MIN_INTERVAL_NANOS;
  private boolean started;
  private long nextTrialAtNanos;
  private long windowStartNanos;
  private int completions;
  private int completionsAtLimit;
  private boolean inUse;
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
      inUse = completionsAtLimit >= IN_USE_FRACTION * completions;
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
      nextTrialAtNanos = nowNanos + MIN_INTERVAL_NANOS;
    }
    if (trial != null) {
      trial.onSent(inFlight, nowNanos);
    } else if (inUse && nowNanos - nextTrialAtNanos >= 0) {
      startTrial(nowNanos);
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

  /** Ends the running trial without a result. */
  void discardTrial(long nowNanos) {
    if (trial != null) {
      trial = null;
      nextTrialAtNanos = nowNanos + MIN_INTERVAL_NANOS;
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

  private void startTrial(long nowNanos) {
    for (int i = 0; i < STEPS.length; i++) {
      int other = Math.max(0, Math.min(lowestLevel(), level + STEPS[stepIndex]));
      if (limitAt(other) != limitAt(level)) {
        trial =
            new LimitTrial(
                limitAt(level), limitAt(other), windowNanos, (long) meanWorkNanos, nowNanos);
        return;
      }
      nextStep();
    }
    nextTrialAtNanos = nowNanos + MAX_INTERVAL_NANOS;
  }

  private void evaluate(long nowNanos) {
    learned = true;
    double step = trial.step();
    double trialWeight = 1 / trial.variance();
    trials++;
    weight += trialWeight;
    weightedGain += trialWeight * trial.gain();
    weightedThreshold += trialWeight * (step < 0 ? MAX_LOSS * step : MIN_GAIN * step);
    trial = null;
    double margin = (weightedGain - weightedThreshold) / weight;
    if (Math.abs(margin) < Math.sqrt(1 / weight) && trials < MAX_TRIALS) {
      nextTrialAtNanos = nowNanos;
      return;
    }
    if (margin > 0) {
      level = Math.max(0, Math.min(lowestLevel(), level + STEPS[stepIndex]));
      intervalNanos = MIN_INTERVAL_NANOS;
      clearTrials();
      nextTrialAtNanos = nowNanos;
    } else {
      nextStep();
      nextTrialAtNanos = nowNanos + intervalNanos;
      if (stepIndex == 0) {
        intervalNanos = Math.min(MAX_INTERVAL_NANOS, 2 * intervalNanos);
      }
    }
  }

  private void nextStep() {
    stepIndex = (stepIndex + 1) % STEPS.length;
    clearTrials();
  }

  private void clearTrials() {
    trials = 0;
    weight = 0;
    weightedGain = 0;
    weightedThreshold = 0;
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
