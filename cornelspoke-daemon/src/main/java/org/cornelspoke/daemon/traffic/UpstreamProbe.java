package org.cornelspoke.daemon.traffic;

import io.activej.promise.Promise;

/** Finds out whether a process still listens at the address of an upstream. */
interface UpstreamProbe {

  /**
   * Opens and closes a connection.
   *
   * @return true if the connection was refused; false if it was accepted, or if the outcome is
   *     unknown
   */
  Promise<Boolean> isRefused();
}
