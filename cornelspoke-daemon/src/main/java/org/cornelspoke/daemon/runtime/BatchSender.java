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
 * Sends the messages of an outbox as soon as the outbox lets them go. Messages that one event adds
 * go in one batch.
 *
 * <p>Belongs to the thread of the reactor.
 */
final class BatchSender {

  private final NioReactor reactor;
  private final ShareOutbox outbox;
  private final Consumer<List<ShareFrame>> sink;
  private Optional<ScheduledRunnable> delayed = Optional.empty();
  private boolean posted;

  /**
   * Creates a sender with nothing to send.
   *
   * @param intervalNanos shortest time between two batches
   * @param sink sends a batch
   */
  BatchSender(NioReactor reactor, long intervalNanos, Consumer<List<ShareFrame>> sink) {
    this.reactor = reactor;
    this.outbox = new ShareOutbox(intervalNanos);
    this.sink = sink;
  }

  void add(ShareFrame message) {
    outbox.add(message);
    post();
  }

  /** Notes that the receiver has answered the last batch. */
  void onAnswer() {
    outbox.onReply();
    if (outbox.hasPending()) {
      post();
    }
  }

  /** Drops what waits, since the connection is lost. */
  void clear() {
    outbox.clear();
  }

  private void post() {
    if (!posted) {
      posted = true;
      reactor.postLast(
          () -> {
            posted = false;
            flush();
          });
    }
  }

  private void flush() {
    // An answer may let a batch go earlier than planned.
    delayed.ifPresent(ScheduledRunnable::cancel);
    delayed = Optional.empty();
    long now = System.nanoTime();
    List<ShareFrame> batch = outbox.take(now);
    if (!batch.isEmpty()) {
      sink.accept(batch);
    } else if (outbox.hasPending()) {
      long delayMillis = TimeUnit.NANOSECONDS.toMillis(outbox.delayNanos(now)) + 1;
      delayed = Optional.of(reactor.delayBackground(delayMillis, this::flush));
    }
  }
}
