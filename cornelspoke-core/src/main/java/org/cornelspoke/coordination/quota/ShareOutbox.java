package org.cornelspoke.coordination.quota;

import java.util.ArrayList;
import java.util.List;
import org.cornelspoke.util.Assert;

/**
 * Collects the messages of a holder to its owner and decides when they may go, all in one batch.
 *
 * <p>Answers callers that press on the rates of many accounts: the owner gets at most one batch per
 * interval from each holder, and none before it has answered the last one, so that its work depends
 * on the number of holders and accounts alone and slows down with its own answers.
 *
 * <p>Not safe for use by several threads. Times are monotonic nanoseconds of this process.
 */
public final class ShareOutbox {

  /** Time after which a batch that was not answered counts as lost. */
  private static final long ANSWER_NANOS = 250_000_000L;

  private final long intervalNanos;
  private List<ShareFrame> waiting = new ArrayList<>();
  private boolean unanswered;
  private boolean used;
  private long sentNanos;

  /**
   * Creates an empty outbox.
   *
   * @param intervalNanos shortest time between two batches
   */
  public ShareOutbox(long intervalNanos) {
    Assert.isTrue(intervalNanos >= 0, "intervalNanos must be 0 or more");
    this.intervalNanos = intervalNanos;
  }

  /** Adds a message to the next batch. */
  public void add(ShareFrame message) {
    waiting.add(Assert.notNull(message, "message"));
  }

  /** Notes that the owner has answered the last batch. */
  public void onAnswer() {
    unanswered = false;
  }

  /** Drops what waits, since the connection that it was meant for is lost. */
  public void clear() {
    waiting.clear();
    unanswered = false;
  }

  /** Returns true if messages wait. */
  public boolean hasWaiting() {
    return !waiting.isEmpty();
  }

  /** Returns the time from which the next batch may go, 0 or less if it may go now. */
  public long delayNanos(long nowNanos) {
    return used ? sentNanos + (unanswered ? ANSWER_NANOS : intervalNanos) - nowNanos : 0;
  }

  /** Returns the messages that may go now and forgets them; nothing if none may go. */
  public List<ShareFrame> take(long nowNanos) {
    if (waiting.isEmpty() || delayNanos(nowNanos) > 0) {
      return List.of();
    }
    List<ShareFrame> batch = waiting;
    waiting = new ArrayList<>();
    unanswered = true;
    used = true;
    sentNanos = nowNanos;
    return batch;
  }
}
