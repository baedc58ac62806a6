package org.cornelspoke.coordination.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;
import org.cornelspoke.util.Assert;

/**
 * Divides the control thread between rate shares and everything else that runs on it. Messages
 * about shares are handled in turns with a pause after each that is at least as long.
 *
 * <p>Answers a control VM with more share messages than it can handle: heartbeats and votes wait
 * for one turn at most, so that a busy leader is not deposed.
 *
 * <p>Not safe for use by several threads.
 */
public final class ShareTurns {

  /** Longest turn, up to the end of the work in hand; a small part of a heartbeat interval. */
  private static final long MAX_TURN_NANOS = 5_000_000L;

  /** Shortest time between the starts of two turns; what arrives meanwhile is answered together. */
  private static final long INTERVAL_NANOS = 5_000_000L;

  private final LongSupplier clock;
  private final Deque<Runnable> work = new ArrayDeque<>();
  private long nextTurnNanos;

  /**
   * Creates an empty list of work.
   *
   * @param clock monotonic nanoseconds
   */
  public ShareTurns(LongSupplier clock) {
    this.clock = Assert.notNull(clock, "clock");
    nextTurnNanos = clock.getAsLong();
  }

  /** Adds work to the next turn that has time for it. */
  public void add(Runnable item) {
    work.add(Assert.notNull(item, "item"));
  }

  /** Returns true if there is work. */
  public boolean hasWork() {
    return !work.isEmpty();
  }

  /** Returns the time until the next turn may start, 0 or less if it may start now. */
  public long delayNanos() {
    return nextTurnNanos - clock.getAsLong();
  }

  /** Does work, oldest first, for one turn. */
  public void run() {
    long startNanos = clock.getAsLong();
    long nowNanos = startNanos;
    try {
      while (!work.isEmpty() && nowNanos - startNanos < MAX_TURN_NANOS) {
        work.poll().run();
        nowNanos = clock.getAsLong();
      }
    } finally {
      long usedNanos = clock.getAsLong() - startNanos;
      nextTurnNanos = startNanos + Math.max(INTERVAL_NANOS, 2 * usedNanos);
    }
  }
}
