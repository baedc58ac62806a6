package org.cornelspoke.daemon.traffic;

import org.cornelspoke.model.ServiceName;

/** Registers and withdraws the local upstreams of this daemon. Confined to the reactor thread. */
public interface UpstreamRegistration {

  /**
   * Registers an upstream or renews its lease.
   *
   * @return false if the daemon is stopping
   */
  boolean announce(Announcement announcement);

  /**
   * Refuses new calls immediately; calls in flight continue. A later announcement by the same
   * process renews the lease but does not end the drain.
   *
   * @return false if the service was not announced
   */
  boolean drain(ServiceName service);

  /**
   * Removes an upstream. Calls in flight continue.
   *
   * @return false if the service was not announced
   */
  boolean withdraw(ServiceName service);

  /**
   * Records that a process has said that it leaves. It gets no calls if it is announced again, also
   * after a restart of this daemon.
   *
   * @param onRecorded called once a restarted daemon would know it; not called while no control VM
   *     can be reached
   */
  void recordDeparture(ProcessId process, Runnable onRecorded);
}
