package org.cornelspoke.coordination.admission;

/**
 * Compares the throughput of an upstream at two limits: three phases hold the present limit, the
 * other limit and the present limit again. Requests count for the phase in which they were sent.
 *
 * <p>The third phase tells a knee from a slow period: a period of 600 ms makes the first and the
 * last phase differ, or covers all three. Work in flight divided by work time is the throughput, so
 * that a knee that only lengthens a queue inside the upstream and one that makes it slower are
 * treated alike.
 *
 * <p>Not safe for use by several threads. Times are monotonic nanoseconds.
 */
final class LimitTrial {

  /** Result of a trial. */
  enum Result {
    RUNNING,
    /** The load fell below the limit, or the upstream changed its speed during the trial. */
    DISCARDED,
    MEASURED
  }

  private static final int PHASES = 3;

  /** Requests per phase; fewer give a standard error near the effect of a step of the limit. */
  private static final int MIN_SENT = 40;

  private static final int MIN_SAMPLES = 12;
  private static final long MAX_PHASE_NANOS = 1_000_000_000L;
  private static final long MAX_WAIT_NANOS = 3_000_000_000L;

  /** Fraction of a phase's requests that must have ended; a few take many times the mean. */
  private static final double ENDED_FRACTION = 0.97;

  /** Fraction of the completions at which the limit must be in use. */
  private static final double IN_USE_FRACTION = 0.9;

  /** Difference of the logarithms of work times at the same limit that counts as a change. */
  private static final double MAX_DRIFT = 0.12;

  /** Difference of the logarithms of the loads below which phases are not comparable. */
  private static final double MIN_STEP = 0.03;

  /** Variance that is assumed at least, so that single trials of equal requests keep a margin. */
  private static final double MIN_VARIANCE = 1e-4;

  private final int limit;
  private final int otherLimit;
  private final long windowNanos;
  private final long minPhaseNanos;
  private final TrialPhase[] phases = new TrialPhase[PHASES];
  private int current;
  private double step;
  private double gain;
  private double variance;

  LimitTrial(int limit, int otherLimit, long windowNanos, long minPhaseNanos, long nowNanos) {
    this.limit = limit;
    this.otherLimit = otherLimit;
    this.windowNanos = windowNanos;
    this.minPhaseNanos = Math.min(minPhaseNanos, MAX_PHASE_NANOS / 2);
    phases[0] = new TrialPhase(limit, nowNanos);
  }

  /** Returns the limit of the present phase. */
  int limit() {
    return current == 1 ? otherLimit : limit;
  }

  void onSent(int inFlight, long nowNanos) {
    if (current == PHASES) {
      return;
    }
    TrialPhase phase = phases[current];
    if (!phase.isSettled()
        && inFlight <= phase.limit()
        && nowNanos - phase.startNanos() >= windowNanos) {
      phase.settle(nowNanos);
    }
    if (phase.isSettled()) {
      phase.onSent(inFlight);
    }
  }

  void onCompletion(boolean atLimit) {
    if (current < PHASES && phases[current].isSettled()) {
      phases[current].onCompletion(atLimit);
    }
  }

  /** Processes the end of a request; see {@link TrialPhase#onEnded}. */
  Result onEnded(double relativeWork, long sentAtNanos, long nowNanos) {
    for (TrialPhase phase : phases) {
      if (phase != null && phase.contains(sentAtNanos)) {
        phase.onEnded(relativeWork);
        break;
      }
    }
    return current < PHASES ? advance(nowNanos) : awaitEnds(nowNanos);
  }

  /** Returns the logarithm of the load at the other limit relative to that at the present one. */
  double step() {
    return step;
  }

  /** Returns the logarithm of the throughput at the other limit relative to the present one. */
  double gain() {
    return gain;
  }

  /** Returns the squared standard error of the gain. */
  double variance() {
    return variance;
  }

  private Result advance(long nowNanos) {
    TrialPhase phase = phases[current];
    boolean complete =
        phase.isSettled()
            && phase.sent() >= MIN_SENT
            && nowNanos - phase.settledAtNanos() >= Math.max(2 * windowNanos, minPhaseNanos);
    if (!complete && nowNanos - phase.startNanos() < MAX_PHASE_NANOS) {
      return Result.RUNNING;
    }
    if (phase.sent() < MIN_SAMPLES || phase.fractionAtLimit() < IN_USE_FRACTION) {
      return Result.DISCARDED;
    }
    phase.close(nowNanos);
    current++;
    if (current < PHASES) {
      phases[current] = new TrialPhase(limit(), nowNanos);
      return Result.RUNNING;
    }
    return awaitEnds(nowNanos);
  }

  private Result awaitEnds(long nowNanos) {
    boolean ended = true;
    for (TrialPhase phase : phases) {
      ended &= phase.hasEnded(ENDED_FRACTION);
    }
    if (!ended) {
      return nowNanos - phases[PHASES - 1].closedAtNanos() < MAX_WAIT_NANOS
          ? Result.RUNNING
          : Result.DISCARDED;
    }
    return measure();
  }

  private Result measure() {
    for (TrialPhase phase : phases) {
      if (phase.samples() < MIN_SAMPLES || phase.meanWork() <= 0) {
        return Result.DISCARDED;
      }
    }
    TrialPhase before = phases[0];
    TrialPhase other = phases[1];
    TrialPhase after = phases[2];
    double drift = Math.log(after.meanWork() / before.meanWork());
    double driftError = Math.sqrt(before.relativeVariance() + after.relativeVariance());
    if (Math.abs(drift) > MAX_DRIFT + 2 * driftError) {
      return Result.DISCARDED;
    }
    double load = (Math.log(before.meanInFlight()) + Math.log(after.meanInFlight())) / 2;
    double work = (Math.log(before.meanWork()) + Math.log(after.meanWork())) / 2;
    step = Math.log(other.meanInFlight()) - load;
    gain = step - (Math.log(other.meanWork()) - work);
    variance =
        MIN_VARIANCE
            + other.relativeVariance()
            + (before.relativeVariance() + after.relativeVariance()) / 4;
    return Math.abs(step) < MIN_STEP ? Result.DISCARDED : Result.MEASURED;
  }
}
