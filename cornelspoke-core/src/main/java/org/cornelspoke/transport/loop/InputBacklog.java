package org.cornelspoke.transport.loop;

import io.activej.reactor.nio.NioReactor;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.cornelspoke.util.Assert;

/**
 * Handles received requests at once while the event loop keeps up. Once input may have waited on
 * its socket for long, requests are deferred until the loop has polled its sockets again: by then
 * it is known which callers have left, and timers that were due have run. Deferred requests are
 * handled in order of arrival and in turns of limited time, between which the loop polls again.
 *
 * <p>Confined to the thread of the loop.
 */
public final class InputBacklog {

  /** Wait on a socket from which on requests are deferred. */
  static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Duration of a turn after which the loop polls again. */
  static final long TURN_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  private final ArrivalClock clock;
  private final LongSupplier nanoClock;
  private final Consumer<Runnable> nextIteration;
  private final boolean deferring;
  private final Queue<Runnable> deferred = new ArrayDeque<>();
  private boolean turnScheduled;

  /**
   * Creates an empty backlog.
   *
   * @param reactor event loop on which requests are handled
   * @param clock tells how long input may have waited on its socket
   */
  public InputBacklog(NioReactor reactor, ArrivalClock clock) {
    this(clock, System::nanoTime, reactor::postNext, true);
  }

  InputBacklog(
      ArrivalClock clock,
      LongSupplier nanoClock,
      Consumer<Runnable> nextIteration,
      boolean deferring) {
    this.clock = Assert.notNull(clock, "clock");
    this.nanoClock = nanoClock;
    this.nextIteration = nextIteration;
    this.deferring = deferring;
  }

  /** Returns a backlog that handles each request at once. */
  public static InputBacklog immediate() {
    return new InputBacklog(System::nanoTime, System::nanoTime, task -> {}, false);
  }

  /**
   * Returns the earliest time at which input that is read now can have arrived, in the time of
   * {@link System#nanoTime}.
   */
  public long arrivalNanos() {
    return clock.earliestArrivalNanos();
  }

  /** Returns the number of deferred requests. */
  public int size() {
    return deferred.size();
  }

  /**
   * Runs the handler of a request, now or in a later iteration of the loop.
   *
   * @param arrivalNanos earliest time at which the request can have arrived
   */
  public void submit(long arrivalNanos, Runnable handler) {
    boolean late = nanoClock.getAsLong() - arrivalNanos >= LATE_NANOS;
    if (!deferring || (deferred.isEmpty() && !late)) {
      handler.run();
      return;
    }
    deferred.add(handler);
    scheduleTurn();
  }

  private void scheduleTurn() {
    if (!turnScheduled && !deferred.isEmpty()) {
      turnScheduled = true;
      nextIteration.accept(this::runTurn);
    }
  }

  private void runTurn() {
    turnScheduled = false;
    long endNanos = nanoClock.getAsLong() + TURN_NANOS;
    try {
      do {
        deferred.remove().run();
      } while (!deferred.isEmpty() && nanoClock.getAsLong() - endNanos < 0);
    } finally {
      scheduleTurn();
    }
  }
}
