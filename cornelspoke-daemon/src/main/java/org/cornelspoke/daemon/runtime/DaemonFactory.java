package org.cornelspoke.daemon.runtime;

import org.cornelspoke.daemon.settings.DaemonSettings;

/** Builds the services of a role from its settings. */
public interface DaemonFactory {

  /**
   * Builds a daemon that has not started yet.
   *
   * @throws IllegalStateException if the role is not available in this build
   */
  Daemon create(DaemonSettings settings);

  /** The running services of one process. */
  interface Daemon {

    /**
     * Starts every service and returns once they accept connections.
     *
     * @throws Exception if an address is taken or the data folder can't be used
     */
    void start() throws Exception;

    /** Waits until {@link #stop} has finished. */
    void awaitStop() throws InterruptedException;

    /** Shuts down gracefully: takes no new work, finishes what runs, then returns. */
    void stop();
  }
}
