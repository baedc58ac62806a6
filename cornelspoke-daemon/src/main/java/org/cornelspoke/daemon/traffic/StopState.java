package org.cornelspoke.daemon.traffic;

import java.util.Optional;

/** Whether the daemon is stopping. Confined to the reactor thread. */
final class StopState {

  private Optional<GracefulStop> stop = Optional.empty();

  /** Records that a stop has begun. */
  void begin(GracefulStop newStop) {
    stop = Optional.of(newStop);
  }

  /** Returns the stop in progress, if any. */
  Optional<GracefulStop> stop() {
    return stop;
  }
}
