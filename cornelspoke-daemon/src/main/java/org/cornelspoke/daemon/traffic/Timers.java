package org.cornelspoke.daemon.traffic;

import io.activej.eventloop.Eventloop;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.util.TimerWheel;

/** Drives a timer wheel from the event loop while at least one timer is pending. */
final class Timers {

  private static final int TICK_MILLIS = 20;
  private static final int BUCKETS = 512;

  private final Eventloop reactor;
  private final TimerWheel wheel =
      new TimerWheel(TimeUnit.MILLISECONDS.toNanos(TICK_MILLIS), BUCKETS, System.nanoTime());
  private Runnable tickListener = () -> {};
  private boolean ticking;

  Timers(Eventloop reactor) {
    this.reactor = reactor;
  }

  /** Sets a callback that runs on each tick. */
  void setTickListener(Runnable listener) {
    tickListener = listener;
  }

  TimerWheel.Timer schedule(long expiresAtNanos, Runnable task) {
    TimerWheel.Timer timer = wheel.schedule(expiresAtNanos, task);
    if (!ticking) {
      ticking = true;
      reactor.delay(TICK_MILLIS, this::tick);
    }
    return timer;
  }

  private void tick() {
    try {
      wheel.advance(System.nanoTime());
      tickListener.run();
    } finally {
      // A task that fails must not keep the other timers from expiring.
      if (wheel.size() > 0) {
        reactor.delay(TICK_MILLIS, this::tick);
      } else {
        ticking = false;
      }
    }
  }
}
