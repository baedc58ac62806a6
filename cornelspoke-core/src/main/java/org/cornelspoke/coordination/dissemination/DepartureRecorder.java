package org.cornelspoke.coordination.dissemination;

/**
 * Records outside this process that an upstream process beside it has said that it leaves, so that
 * a daemon that restarts does not believe a delayed report of that process.
 */
public interface DepartureRecorder {

  /** Records nothing. */
  DepartureRecorder NONE = (process, onRecorded) -> onRecorded.run();

  /**
   * Records a departure. It is sent again until it is recorded.
   *
   * @param process names the upstream process
   * @param onRecorded called on the thread of the caller's reactor once the departure is recorded;
   *     not called while no control VM can be reached
   */
  void recordDeparture(String process, Runnable onRecorded);
}
