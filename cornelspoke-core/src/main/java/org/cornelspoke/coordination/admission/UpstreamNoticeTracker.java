package org.cornelspoke.coordination.admission;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.cornelspoke.state.config.ServicePolicy;

/**
 * Tracks what one upstream process states about itself, in its responses and its reports, and which
 * rate follows from it: the smallest one of all sources. A process that is leaving does not return.
 *
 * <p>Not safe for use by several threads. Times are monotonic nanoseconds.
 */
public final class UpstreamNoticeTracker {

  private final ResponseLimit responseLimit = new ResponseLimit();
  private final ColdPeriod coldPeriod;
  private final List<StatedRateSource> sources;
  private boolean leaving;

  /**
   * Creates the state of a process that has stated nothing.
   *
   * @param nowNanos time at which this daemon learned of the process
   */
  public UpstreamNoticeTracker(long nowNanos) {
    coldPeriod = new ColdPeriod(nowNanos);
    sources = List.of(responseLimit, coldPeriod);
  }

  /** Returns the notice in force. */
  public UpstreamNotice current(long nowNanos) {
    return new UpstreamNotice(
        responseLimit.requestsPerSecond(), leaving, coldPeriod.remainingMillis(nowNanos));
  }

  /** Returns true if the process is about to stop. */
  public boolean isLeaving() {
    return leaving;
  }

  /** Returns the smallest rate of all sources, or empty if none limits the rate. */
  public Optional<StatedRate> rate(long nowNanos) {
    Optional<StatedRate> smallest = Optional.empty();
    for (StatedRateSource source : sources) {
      Optional<StatedRate> rate = source.rate(nowNanos);
      smallest =
          smallest.isPresent() && rate.isPresent()
              ? Optional.of(smallest.get().and(rate.get()))
              : smallest.or(() -> rate);
    }
    return smallest;
  }

  /** Applies the policy of the service, or its absence, from a configuration. */
  public void setPolicy(Optional<ServicePolicy> policy) {
    coldPeriod.setPolicy(policy);
  }

  /**
   * Processes a report of the process. Reports must be passed in the order in which they were sent.
   *
   * @param coldRemainingMillis remaining cold time, 0 if warm, or empty if it is not stated
   */
  public void onReport(OptionalLong coldRemainingMillis, long nowNanos) {
    coldPeriod.onReport(coldRemainingMillis, nowNanos);
  }

  /** Records that a report, or an operator, has said that the process is about to stop. */
  public void onLeaving() {
    leaving = true;
  }

  /** Treats the upstream as cold until its next report; its data centre was evacuated before. */
  public void onEvacuationEnded(long nowNanos) {
    coldPeriod.onEvacuationEnded(nowNanos);
  }

  /**
   * Processes the notice of a response.
   *
   * @param sentAtNanos time at which the request was sent to the process
   */
  public void onResponse(UpstreamNotice notice, long sentAtNanos, long nowNanos) {
    responseLimit.onResponse(notice.requestsPerSecond(), sentAtNanos, nowNanos);
    coldPeriod.onResponse(notice.coldRemainingMillis(), sentAtNanos, nowNanos);
    leaving |= notice.leaving();
  }

  /** Processes a notice that another daemon received from the process earlier. */
  public void onEarlierNotice(UpstreamNotice notice, long nowNanos) {
    responseLimit.onEarlierNotice(notice.requestsPerSecond(), nowNanos);
    coldPeriod.onEarlierNotice(notice.coldRemainingMillis(), nowNanos);
    leaving |= notice.leaving();
  }
}
