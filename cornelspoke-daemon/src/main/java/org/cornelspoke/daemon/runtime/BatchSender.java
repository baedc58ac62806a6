package org.cornelspoke.daemon.runtime;

import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cornelspoke.coordination.quota.ShareFrame;
import org.cornelspoke.coordination.quota.ShareOutbox;

/**
 * Sends the messages of an outbox as soon as the outbox permits. Messages added by the same event
 * are sent in one batch.
 *
 * <p>Must be used on the reactor's thread only.
 */
final class BatchSender {

  private final NioReactor reactor;
  private final ShareOutbox outbox;
  private final Consumer<List<ShareFrame>> sink;
  private Optional<ScheduledRunnable> delayedFlush = Optional.empty();
  private boolean flushPosted;

  /**
   * Creates a sender without messages.
   *
   * @param minIntervalNanos minimum interval between two batches
   * @param sink sends a batch
   */
  BatchSender(NioReactor reactor, long minIntervalNanos, Consumer<List<ShareFrame>> sink) {
    this.reactor = reactor;
    this.outbox = new ShareOutbox(minIntervalNanos);
    this.sink = sink;
  }

  void add(ShareFrame message) {
    outbox.add(message);
    postFlush();
  }

  /** Records that the receiver has replied to the last batch, which may permit the next one. */
  void onReply() {
    outbox.onReply();
    if (outbox.hasPending()) {
      postFlush();
    }
  }

  /** Discards unsent messages after the connection is lost. */
  void clear() {
    outbox.clear();
  }

  private void postFlush() {
    if (!flushPosted) {
      flushPosted = true;
      reactor.postLast(
          () -> {
            flushPosted = false;
            flush();
          });
    }
  }

  private void flush() {
    // A reply may permit a batch before the scheduled time.
    delayedFlush.ifPresent(ScheduledRunnable::cancel);
    delayedFlush = Optional.empty();
    long nowNanos = System.nanoTime();
    List<ShareFrame> batch = outbox.take(nowNanos);
    if (!batch.isEmpty()) {
      sink.accept(batch);
    } else if (outbox.hasPending()) {
      long delayMillis = TimeUnit.NANOSECONDS.toMillis(outbox.delayNanos(nowNanos)) + 1;
      delayedFlush = Optional.of(reactor.delayBackground(delayMillis, this::flush));
    }
  }
}
