package org.cornelspoke.daemon.runtime;

import com.codahale.metrics.MetricRegistry;
import java.lang.System.Logger.Level;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.coordination.quota.ShareOwner;

/**
 * Logs and publishes which rates a new owner withholds, and for which relays and daemons. Must be
 * updated on the control thread; any thread may read the metrics.
 */
final class WithheldRates {

  private static final System.Logger LOGGER = System.getLogger(WithheldRates.class.getName());
  private static final String PREFIX = "rate-shares.";
  private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private volatile double withheldPerSecond;
  private volatile int missingDaemons;
  private volatile int missingRelays;
  private long loggedAtNanos = System.nanoTime() - LOG_INTERVAL_NANOS;
  private long issuedLoggedTerm = -1;

  WithheldRates(MetricRegistry registry) {
    registry.removeMatching((name, metric) -> name.startsWith(PREFIX));
    registry.gauge(PREFIX + "withheld-per-second", () -> () -> withheldPerSecond);
    registry.gauge(PREFIX + "withheld-for-daemons", () -> () -> missingDaemons);
    registry.gauge(PREFIX + "withheld-for-relays", () -> () -> missingRelays);
  }

  /** Publishes that this VM owns no rate shares. */
  void onNotOwner() {
    withheldPerSecond = 0;
    missingDaemons = 0;
    missingRelays = 0;
  }

  /**
   * Publishes and logs the state of the owner of a term.
   *
   * @param holders daemons and relays that may hold shares
   */
  void update(ShareOwner owner, long term, ShareHolderHistory holders, long nowNanos) {
    if (!owner.isInQuietPeriod(nowNanos)) {
      onNotOwner();
      if (issuedLoggedTerm != term) {
        issuedLoggedTerm = term;
        LOGGER.log(Level.INFO, "event=rate-shares-issued term={0}", term);
      }
      return;
    }
    Set<String> unready = owner.unreadyHolders(holders.daemons(nowNanos));
    Set<String> incomplete = owner.incompleteRelays(holders.relays(nowNanos), nowNanos);
    withheldPerSecond = owner.withheldRatePerSecond(nowNanos);
    missingDaemons = unready.size();
    missingRelays = incomplete.size();
    if (nowNanos - loggedAtNanos >= LOG_INTERVAL_NANOS) {
      loggedAtNanos = nowNanos;
      LOGGER.log(
          Level.INFO,
          "event=rate-shares-withheld term={0} missingDaemons={1} missingRelays={2}"
              + " withheldPerSecond={3} ofPerSecond={4}",
          term,
          unready,
          incomplete,
          String.format(Locale.ROOT, "%.1f", withheldPerSecond),
          String.format(Locale.ROOT, "%.1f", owner.configuredRatePerSecond()));
    }
  }
}
