package org.cornelspoke.daemon.runtime;

import com.codahale.metrics.MetricRegistry;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cornelspoke.coordination.quota.ReturnCounts;
import org.cornelspoke.coordination.quota.ShareHolder;
import org.cornelspoke.coordination.quota.ShareMessage;
import org.cornelspoke.coordination.quota.ShareTimes;
import org.cornelspoke.daemon.settings.ReturnSettings;

/**
 * Creates the rate shares of a daemon with or without return times, and the metrics of these.
 *
 * @param keepMillis time for which a token stays reserved, or empty if there are no return times
 */
record ScheduledReturns(OptionalInt keepMillis, MetricRegistry metrics) {

  /** Returns the choice of the profile, or else that of the settings. */
  static ScheduledReturns of(
      TrafficProfile profile, ReturnSettings settings, MetricRegistry metrics) {
    return new ScheduledReturns(
        profile.returnKeepMillis.isEmpty() && settings.enabled()
            ? OptionalInt.of(settings.keepMillis())
            : profile.returnKeepMillis,
        metrics);
  }

  ShareHolder createHolder(ShareTimes times, Consumer<ShareMessage> toOwner) {
    if (keepMillis.isEmpty()) {
      return new ShareHolder(times, toOwner);
    }
    ReturnCounts counts = new ReturnCounts();
    metrics.gauge("returns.handed-out", () -> counts::handedOut);
    metrics.gauge("returns.kept", () -> counts::kept);
    metrics.gauge("returns.lapsed", () -> counts::lapsed);
    metrics.gauge("returns.impossible", () -> counts::impossible);
    long keepNanos = TimeUnit.MILLISECONDS.toNanos(keepMillis.getAsInt());
    return ShareHolder.withScheduledReturns(times, toOwner, keepNanos, counts);
  }
}
