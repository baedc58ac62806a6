package org.cornelspoke.daemon.traffic;

import org.cornelspoke.model.ServiceName;

/**
 * Takes what upstreams beside this daemon say of themselves. Belongs to the thread of the traffic
 * path.
 */
public interface UpstreamRegistration {

  /**
   * Registers an upstream or renews its lease.
   *
   * @return false if the daemon is stopping
   */
  boolean announce(Announcement announcement);

  /**
   * Stops new work at once; what runs goes on. A later announcement of the same process renews the
   * lease but does not end the drain.
   *
   * @return false if the service was not announced
   */
  boolean drain(ServiceName service);

  /**
   * Removes an upstream. What runs goes on.
   *
   * @return false if the service was not announced
   */
  boolean withdraw(ServiceName service);
}
