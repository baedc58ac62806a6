package org.cornelspoke.coordination.admission;

import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.state.config.Preset;

/**
 * Admits requests to one upstream, lets them wait or refuses them. The daemon beside the upstream
 * owns the only gate of that upstream, so every request passes it. A refused request has not run.
 *
 * <p>Not safe for use by several threads. Times are monotonic nanoseconds.
 */
public interface UpstreamGate {

  /**
   * Offers a request.
   *
   * @param listener called exactly once, possibly before the method returns, unless the request is
   *     cancelled first
   * @return a ticket that names the request in later calls
   */
  Ticket submit(GateRequest request, Listener listener, long nowNanos);

  /**
   * Ends an admitted request and frees its slot.
   *
   * @throws IllegalStateException if the ticket was not admitted or has ended
   */
  void complete(Ticket ticket, Completion completion, long nowNanos);

  /**
   * Removes a waiting request without calling its listener.
   *
   * @return false if the request was no longer waiting
   */
  boolean cancel(Ticket ticket, long nowNanos);

  /** Refuses requests whose wait has ended. Called every few milliseconds. */
  void onTick(long nowNanos);

  /** Puts a preset in force for the requests that are offered from now on. */
  void applyPreset(Preset preset);

  /** Sets the number of slots that the upstream announces, an upper bound of the limit. */
  void setAnnouncedSlots(int slots);

  /**
   * Stops or resumes admission. Admitted requests go on; those that wait are refused at the next
   * tick.
   */
  void setDraining(boolean draining);

  /** Returns the load at this moment. */
  GateLoad load();

  /** Names a request at its gate. */
  interface Ticket {}

  /** Receives the decision about one request. */
  interface Listener {

    /** The request holds a slot until {@link UpstreamGate#complete} is called. */
    void onAdmitted();

    /**
     * The request is refused for good and has not run.
     *
     * @param retryAfterMillis when another try may succeed, from the queue and the limit
     */
    void onRefused(RefusalReason reason, long retryAfterMillis);
  }
}
