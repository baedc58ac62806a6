package org.cornelspoke.daemon.traffic;

import java.util.concurrent.TimeUnit;
import org.cornelspoke.coordination.admission.GateLoad;
import org.cornelspoke.coordination.admission.UpstreamNotice;
import org.cornelspoke.model.ServiceName;

/**
 * Logs changes of the notice of one upstream process, and once per second how many requests it was
 * sent while a rate limit is in force.
 *
 * <p>Not thread-safe.
 */
final class UpstreamNoticeLog {

  private static final System.Logger LOGGER = System.getLogger(UpstreamNoticeLog.class.getName());
  private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final ServiceName service;
  private final String instance;
  private long intervalStartNanos = System.nanoTime();
  private int sentRequests;

  UpstreamNoticeLog(ServiceName service, String instance) {
    this.service = service;
    this.instance = instance;
  }

  /** Counts a request that is sent to the process. */
  void onSent() {
    sentRequests++;
  }

  /** Logs a changed notice. */
  void onChanged(UpstreamNotice notice) {
    LOGGER.log(
        System.Logger.Level.INFO,
        "event=upstream-notice service="
            + service.value()
            + " instance="
            + instance
            + " requestsPerSecond="
            + (notice.requestsPerSecond().isPresent()
                ? notice.requestsPerSecond().getAsDouble()
                : "unlimited")
            + " leaving="
            + notice.leaving()
            + " coldRemainingMillis="
            + notice.coldRemainingMillis().orElse(0));
  }

  /** Logs the requests of the past interval if it has ended and a rate limit is in force. */
  void onTick(UpstreamNotice notice, GateLoad load, long nowNanos) {
    long elapsedNanos = nowNanos - intervalStartNanos;
    if (elapsedNanos < INTERVAL_NANOS) {
      return;
    }
    if (notice.requestsPerSecond().isPresent()) {
      LOGGER.log(
          System.Logger.Level.INFO,
          "event=limited-upstream-load service="
              + service.value()
              + " instance="
              + instance
              + " requestsPerSecond="
              + notice.requestsPerSecond().getAsDouble()
              + " sent="
              + sentRequests
              + " elapsedMillis="
              + TimeUnit.NANOSECONDS.toMillis(elapsedNanos)
              + " inFlight="
              + load.inFlight()
              + " queued="
              + load.queued()
              + " limit="
              + load.limit());
    }
    intervalStartNanos = nowNanos;
    sentRequests = 0;
  }
}
