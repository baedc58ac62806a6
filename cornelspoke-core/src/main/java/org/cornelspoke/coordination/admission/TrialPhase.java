package org.cornelspoke.coordination.admission;

/** Requests sent during one phase of a {@link LimitTrial}, which holds one limit. */
final class TrialPhase {

  private final int limit;
  private final long startNanos;
  private boolean settled;
  private long settledAtNanos;
  private boolean closed;
  private long closedAtNanos;
  private int sent;
  private int ended;
  private double inFlightSum;
  private int samples;
  private double workSum;
  private double squareSum;
  private int completions;
  private int completionsAtLimit;

  TrialPhase(int limit, long startNanos) {
    this.limit = limit;
    this.startNanos = startNanos;
  }

  int limit() {
    return limit;
  }

  long startNanos() {
    return startNanos;
  }

  boolean isSettled() {
    return settled;
  }

  long settledAtNanos() {
    return settledAtNanos;
  }

  void settle(long nowNanos) {
    settled = true;
    settledAtNanos = nowNanos;
  }

  void close(long nowNanos) {
    closed = true;
    closedAtNanos = nowNanos;
  }

  long closedAtNanos() {
    return closedAtNanos;
  }

  int sent() {
    return sent;
  }

  int samples() {
    return samples;
  }

  /** Returns true if a request that was sent at this time belongs to the phase. */
  boolean contains(long sentAtNanos) {
    return settled
        && sentAtNanos - settledAtNanos >= 0
        && (!closed || sentAtNanos - closedAtNanos < 0);
  }

  void onSent(int inFlight) {
    sent++;
    inFlightSum += inFlight;
  }

  /**
   * Adds a request that has ended.
   *
   * @param relativeWork work time as a multiple of the mean of its kind, or NaN if unknown
   */
  void onEnded(double relativeWork) {
    ended++;
    if (!Double.isNaN(relativeWork)) {
      samples++;
      workSum += relativeWork;
      squareSum += relativeWork * relativeWork;
    }
  }

  void onCompletion(boolean atLimit) {
    completions++;
    completionsAtLimit += atLimit ? 1 : 0;
  }

  boolean hasEnded(double fraction) {
    return ended >= fraction * sent;
  }

  double fractionAtLimit() {
    return completions == 0 ? 0 : (double) completionsAtLimit / completions;
  }

  double meanInFlight() {
    return inFlightSum / sent;
  }

  double meanWork() {
    return workSum / samples;
  }

  /** Returns the squared relative standard error of the mean work time. */
  double relativeVariance() {
    double mean = meanWork();
    double variance = Math.max(0, squareSum / samples - mean * mean);
    return variance / (mean * mean) / samples;
  }
}
