package org.cornelspoke.daemon.traffic;

import java.util.concurrent.TimeUnit;
import org.cornelspoke.coordination.admission.GateLoad;
import org.cornelspoke.coordination.admission.UpstreamNotice;
import org.cornelspoke.model.ServiceName;

/**
 * Logs changes of the notice of one upstream process, and once per second how many requests it was
 * sent while a rate limit is in force. Counts its cold periods.
 *
 * <p>Not thread-safe.
 */
final class UpstreamNoticeLog {

  private static final System.Logger LOGGER = System.getLogger(UpstreamNoticeLog.class.getName());
  private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final ServiceName service;
  private final String instance;
  private final TrafficMetrics metrics;
  private UpstreamNotice notice = UpstreamNotice.NONE;
  private long intervalStartNanos = System.nanoTime();
  private int sentRequests;

  UpstreamNoticeLog(ServiceName service, String instance, TrafficMetrics metrics) {
    this.metrics = metrics;
    this.service = service;
    this.instance = instance;
  }

  /** Counts a request that is sent to the process. */
  void onSent() {
    sentRequests++;
    if (isCold(notice)) {
      metrics.sentWhileCold.inc();
    }
  }

  /** Logs a notice that differs from the last one by more than the passing of time. */
  void onNotice(UpstreamNotice newNotice) {
    boolean changed =
        !newNotice.requestsPerSecond().equals(notice.requestsPerSecond())
            || newNotice.leaving() != notice.leaving()
            || isCold(newNotice) != isCold(notice);
    if (isCold(newNotice) && !isCold(notice)) {
      metrics.coldPeriods.inc();
    }
    notice = newNotice;
    if (changed) {
      log();
    }
  }

  private static boolean isCold(UpstreamNotice notice) {
    return notice.coldRemainingMillis().isPresent();
  }

  private void log() {
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
  void onTick(GateLoad load, long nowNanos) {
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
