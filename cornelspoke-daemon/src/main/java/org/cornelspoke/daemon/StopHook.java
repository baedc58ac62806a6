package org.cornelspoke.daemon;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cornelspoke.daemon.runtime.DaemonFactory;

/**
 * Shutdown hook that delays the exit of the process until the daemon has stopped gracefully.
 * SIGTERM is the regular way to stop a daemon. If it arrives while the daemon starts, the daemon is
 * stopped as soon as the start is complete.
 */
final class StopHook implements Runnable {

  private final CompletableFuture<Optional<DaemonFactory.Daemon>> started =
      new CompletableFuture<>();

  /** Sets the daemon to stop. */
  void onStarted(DaemonFactory.Daemon daemon) {
    started.complete(Optional.of(daemon));
  }

  /** Records that there is no daemon to stop. */
  void onStartFailed() {
    started.complete(Optional.empty());
  }

  @Override
  public void run() {
    started.join().ifPresent(DaemonFactory.Daemon::stop);
  }
}
