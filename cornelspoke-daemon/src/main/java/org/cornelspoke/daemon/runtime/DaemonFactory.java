package org.cornelspoke.daemon.runtime;

import org.cornelspoke.daemon.settings.DaemonSettings;

/** Creates the daemon of a role from its settings. */
public interface DaemonFactory {

  /**
   * Creates a daemon without starting it.
   *
   * @throws IllegalStateException if the role is not available in this build
   */
  Daemon create(DaemonSettings settings);

  /** The running services of one process. */
  interface Daemon {

    /**
     * Starts every service and returns once they accept connections.
     *
     * @throws Exception if an address is already in use or the data folder is not usable
     */
    void start() throws Exception;

    /** Waits until {@link #stop} has finished, or the stop that follows a failure. */
    void awaitStop() throws InterruptedException;

    /** Returns whether the daemon stopped itself because of a failure that a restart may clear. */
    default boolean hasFailed() {
      return false;
    }

    /** Stops gracefully: accepts no new work, waits for work in progress, then returns. */
    void stop();
  }
}
