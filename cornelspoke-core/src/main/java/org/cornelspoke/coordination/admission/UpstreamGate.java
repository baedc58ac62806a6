package org.cornelspoke.coordination.admission;

import java.util.Optional;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.state.config.Preset;

/**
 * Admission control of one upstream: admits, queues or refuses requests. The daemon next to the
 * upstream owns its only gate, so every request passes it. A refused request has not run.
 *
 * <p>Not safe for use by several threads. Times are monotonic nanoseconds.
 */
public interface UpstreamGate {

  /**
   * Submits a request.
   *
   * @param listener called exactly once, possibly before the method returns, unless the request is
   *     cancelled first
   * @return a ticket that identifies the request in later calls
   */
  Ticket submit(GateRequest request, Listener listener, long nowNanos);

  /**
   * Completes an admitted request and releases its slot.
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

  /** Refuses queued requests that have expired. Called every few milliseconds. */
  void onTick(long nowNanos);

  /** Applies a preset to the requests that are submitted from now on. */
  void applyPreset(Preset preset);

  /** Sets the number of slots that the upstream announces, an upper bound of the limit. */
  void setAnnouncedSlots(int slots);

  /**
   * Sets the rate of requests that the upstream states to accept, or removes the limit. Requests
   * beyond it wait or are refused like those beyond the concurrency limit.
   *
   * @param rate the smallest rate that the upstream states, or empty for no limit
   */
  void setRateLimit(Optional<StatedRate> rate, long nowNanos);

  /**
   * Stops or resumes admission. Admitted requests continue; queued requests are refused at the next
   * tick.
   */
  void setDraining(boolean draining);

  /**
   * Stops admission while the data centre of the upstream is evacuated, or resumes it unless the
   * upstream drains. Admitted requests continue; queued requests are refused at the next tick.
   */
  void setEvacuated(boolean evacuated);

  /** Returns the current load. */
  GateLoad load();

  /** Identifies a request at its gate. */
  interface Ticket {}

  /** Receives the decision about one request. */
  interface Listener {

    /** The request holds a slot until {@link UpstreamGate#complete} is called. */
    void onAdmitted();

    /**
     * The request is refused and has not run. This decision is final.
     *
     * @param retryAfterMillis estimated delay until a retry may succeed, from queue length and
     *     limit
     */
    void onRefused(RefusalReason reason, long retryAfterMillis);
  }
}
