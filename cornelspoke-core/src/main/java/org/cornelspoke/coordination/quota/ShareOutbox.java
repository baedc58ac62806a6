package org.cornelspoke.coordination.quota;

import java.util.ArrayList;
import java.util.List;
import org.cornelspoke.util.Assert;

/**
 * Batches the messages of a holder to its owner and decides when a batch may be sent.
 *
 * <p>Protects the owner from callers that exceed the rates of many accounts. It gets at most one
 * batch per interval from each holder, and none before it has replied to the last one, so its load
 * depends only on the number of holders and accounts and falls when its replies slow down.
 *
 * <p>Not safe for use by several threads. Times are monotonic nanoseconds of this process.
 */
public final class ShareOutbox {

  /** Time after which a batch without a reply counts as lost. */
  private static final long REPLY_TIMEOUT_NANOS = 250_000_000L;

  private final long intervalNanos;
  private List<ShareFrame> pending = new ArrayList<>();
  private boolean awaitingReply;
  private boolean hasSent;
  private long lastSentAtNanos;

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
    pending.add(Assert.notNull(message, "message"));
  }

  /** Records that the owner has replied to the last batch. */
  public void onReply() {
    awaitingReply = false;
  }

  /** Discards pending messages after their connection was lost. */
  public void clear() {
    pending.clear();
    awaitingReply = false;
  }

  /** Returns true if messages are pending. */
  public boolean hasPending() {
    return !pending.isEmpty();
  }

  /** Returns the delay until the next batch may be sent, 0 or less if it may be sent now. */
  public long delayNanos(long nowNanos) {
    return hasSent
        ? lastSentAtNanos + (awaitingReply ? REPLY_TIMEOUT_NANOS : intervalNanos) - nowNanos
        : 0;
  }

  /** Removes and returns the pending messages, or returns an empty list if none may be sent now. */
  public List<ShareFrame> take(long nowNanos) {
    if (pending.isEmpty() || delayNanos(nowNanos) > 0) {
      return List.of();
    }
    List<ShareFrame> batch = pending;
    pending = new ArrayList<>();
    awaitingReply = true;
    hasSent = true;
    lastSentAtNanos = nowNanos;
    return batch;
  }
}
