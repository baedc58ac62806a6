package org.cornelspoke.daemon.runtime;

import com.codahale.metrics.MetricRegistry;
import java.lang.System.Logger.Level;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.coordination.quota.IssuedShares;
import org.cornelspoke.coordination.quota.ShareFrame;
import org.cornelspoke.coordination.quota.ShareMessage.TokenReply;
import org.cornelspoke.coordination.quota.ShareMessage.TokenRequest;
import org.cornelspoke.coordination.quota.ShareOwner;
import org.cornelspoke.coordination.quota.ShareTaskQueue;

/**
 * Logs and publishes how much work the rate shares cause on a control VM, how late it is done, and
 * what the owner counts as issued to relays that are silent. Must be updated on the control thread;
 * any thread may read the metrics.
 */
final class ShareLoad {

  private static final System.Logger LOGGER = System.getLogger(ShareLoad.class.getName());
  private static final String PREFIX = "share-tasks.";
  private static final long UPDATE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Delay from which a line is logged every second; a quarter of the usual wait for a token. */
  private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** Silence from which a relay is logged; relays report every 0.3 s while they are in use. */
  private static final long SILENT_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final ShareTaskQueue tasks;
  private final Map<String, Integer> messageCounts = new TreeMap<>();
  private int requestedTokens;
  private int issuedTokens;
  private volatile long maxDelayMillis;
  private volatile double busyFraction;
  private long updatedAtNanos = System.nanoTime();
  private long loggedAtNanos = updatedAtNanos;

  ShareLoad(ShareTaskQueue tasks, MetricRegistry registry) {
    this.tasks = tasks;
    registry.removeMatching((name, metric) -> name.startsWith(PREFIX));
    registry.gauge(PREFIX + "max-delay-millis", () -> () -> maxDelayMillis);
    registry.gauge(PREFIX + "busy-fraction", () -> () -> busyFraction);
  }

  /** Counts a message that this VM handles. */
  void onReceived(ShareFrame message) {
    count("received", message);
    if (message instanceof TokenRequest request) {
      requestedTokens += (int) Math.round(request.requests().total());
    }
  }

  /** Counts a message that this VM sends. */
  void onSent(ShareFrame message) {
    count("sent", message);
    if (message instanceof TokenReply reply) {
      issuedTokens += reply.count();
    }
  }

  private void count(String direction, ShareFrame message) {
    messageCounts.merge(direction + message.getClass().getSimpleName(), 1, Integer::sum);
  }

  /**
   * Publishes and logs the load since the last update, once a second.
   *
   * @param daemons number of attached daemons
   * @param owner owner of the rate shares, if it is on this VM
   */
  void update(int daemons, Optional<ShareOwner> owner, long nowNanos) {
    long elapsedNanos = nowNanos - updatedAtNanos;
    if (elapsedNanos < UPDATE_INTERVAL_NANOS) {
      return;
    }
    updatedAtNanos = nowNanos;
    long maxDelayNanos = tasks.takeMaxDelayNanos();
    maxDelayMillis = TimeUnit.NANOSECONDS.toMillis(maxDelayNanos);
    busyFraction = (double) tasks.takeUsedNanos() / elapsedNanos;
    owner.ifPresent(
        current ->
            current
                .sharesAtSilentRelays(SILENT_NANOS, nowNanos)
                .forEach((relay, shares) -> logSilent(relay, shares, nowNanos)));
    if (!messageCounts.isEmpty()
        && (maxDelayNanos >= LATE_NANOS || nowNanos - loggedAtNanos >= LOG_INTERVAL_NANOS)) {
      loggedAtNanos = nowNanos;
      LOGGER.log(
          Level.INFO,
          "event=share-tasks daemons={0} maxDelayMillis={1} busyPercent={2} queued={3}"
              + " requestedTokens={4} issuedTokens={5} messages={6}",
          daemons,
          maxDelayMillis,
          Math.round(busyFraction * 100),
          tasks.size(),
          requestedTokens,
          issuedTokens,
          messageCounts);
    }
    messageCounts.clear();
    requestedTokens = 0;
    issuedTokens = 0;
  }

  private static void logSilent(String relay, IssuedShares shares, long nowNanos) {
    LOGGER.log(
        Level.INFO,
        "event=rate-shares-at-silent-relay relay={0} perSecond={1} burst={2} silentMillis={3}"
            + " countedMillis={4}",
        relay,
        Math.round(shares.share().rateTokensPerSecond()),
        Math.round(shares.share().burstTokens()),
        TimeUnit.NANOSECONDS.toMillis(nowNanos - shares.reportedAtNanos()),
        TimeUnit.NANOSECONDS.toMillis(shares.countedUntilNanos() - nowNanos));
  }
}
