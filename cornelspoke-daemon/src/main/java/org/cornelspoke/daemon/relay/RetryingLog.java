package org.cornelspoke.daemon.relay;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.Reactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.function.LongSupplier;
import org.cornelspoke.coordination.consensus.ReplicatedLog;

/**
 * Retries proposals and reads until a deadline. A command is proposed again if its outcome is
 * unknown, so it must have an id that makes its application idempotent.
 */
final class RetryingLog {

  /** About a tenth of the duration of an election, so that little time is lost after one. */
  private static final long RETRY_INTERVAL_MILLIS = 100;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Reactor reactor;
  private final ReplicatedLog log;
  private final LongSupplier nanoClock;

  RetryingLog(Reactor reactor, ReplicatedLog log, LongSupplier nanoClock) {
    this.reactor = reactor;
    this.log = log;
    this.nanoClock = nanoClock;
  }

  /** Completes with the result of the command, or fails with {@link ProposalFailedException}. */
  Promise<byte[]> propose(byte[] command, long deadlineNanos) {
    Proposal proposal = new Proposal(command, deadlineNanos);
    proposal.start();
    return proposal.promise;
  }

  /**
   * Completes when the applied state is confirmed to be current, or fails with {@link
   * ReadNotConfirmedException}.
   */
  Promise<Void> confirmCurrent(long deadlineNanos) {
    SettablePromise<Void> promise = new SettablePromise<>();
    ScheduledRunnable timer =
        scheduleAtDeadline(
            deadlineNanos,
            () ->
                promise.trySetException(
                    new ReadNotConfirmedException("no answer before the deadline")));
    read(promise, deadlineNanos);
    return promise.whenComplete(timer::cancel);
  }

  private void read(SettablePromise<Void> promise, long deadlineNanos) {
    if (promise.isComplete()) {
      return;
    }
    log.readIndex(
        new ReplicatedLog.ReadListener() {
          @Override
          public void onCurrent(long index) {
            promise.trySet(null);
          }

          @Override
          public void onUnavailable(String cause) {
            if (isRetryPastDeadline(deadlineNanos)) {
              promise.trySetException(new ReadNotConfirmedException(cause));
            } else {
              reactor.delayBackground(RETRY_INTERVAL_MILLIS, () -> read(promise, deadlineNanos));
            }
          }
        });
  }

  /** The timer must be cancelled on completion; it would keep the command in memory otherwise. */
  private ScheduledRunnable scheduleAtDeadline(long deadlineNanos, Runnable action) {
    long millis = Math.max(0, (deadlineNanos - nanoClock.getAsLong()) / NANOS_PER_MILLI);
    return reactor.delayBackground(millis, action);
  }

  private boolean isRetryPastDeadline(long deadlineNanos) {
    return nanoClock.getAsLong() + RETRY_INTERVAL_MILLIS * NANOS_PER_MILLI - deadlineNanos >= 0;
  }

  private final class Proposal implements ReplicatedLog.ProposalListener {

    private final SettablePromise<byte[]> promise = new SettablePromise<>();
    private final byte[] command;
    private final long deadlineNanos;
    private boolean maybeCommitted;
    private boolean inFlight;
    private String lastCause = "no answer before the deadline";

    Proposal(byte[] command, long deadlineNanos) {
      this.command = command;
      this.deadlineNanos = deadlineNanos;
    }

    void start() {
      ScheduledRunnable timer = scheduleAtDeadline(deadlineNanos, this::fail);
      promise.whenComplete(timer::cancel);
      propose();
    }

    @Override
    public void onCommitted(long index, byte[] result) {
      inFlight = false;
      promise.trySet(result);
    }

    @Override
    public void onNotAppended(String cause) {
      inFlight = false;
      retry(cause);
    }

    @Override
    public void onUnknown(String cause) {
      inFlight = false;
      maybeCommitted = true;
      retry(cause);
    }

    private void propose() {
      if (!promise.isComplete()) {
        inFlight = true;
        log.propose(command, this);
      }
    }

    private void retry(String cause) {
      lastCause = cause;
      if (isRetryPastDeadline(deadlineNanos)) {
        fail();
      } else {
        reactor.delayBackground(RETRY_INTERVAL_MILLIS, this::propose);
      }
    }

    private void fail() {
      if (!promise.isComplete()) {
        promise.setException(new ProposalFailedException(maybeCommitted || inFlight, lastCause));
      }
    }
  }
}
