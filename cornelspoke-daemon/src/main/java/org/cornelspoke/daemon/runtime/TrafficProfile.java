package org.cornelspoke.daemon.runtime;

import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.IntFunction;
import java.util.function.Supplier;
import org.cornelspoke.coordination.admission.ConcurrencyLimit;
import org.cornelspoke.coordination.admission.LimitAlgorithm;
import org.cornelspoke.coordination.admission.RootRequestThrottle;
import org.cornelspoke.coordination.quota.ShareTimes;
import org.cornelspoke.coordination.retry.DefaultRetryThrottle;
import org.cornelspoke.coordination.retry.RetryThrottles;
import org.cornelspoke.daemon.traffic.DefaultDialect;
import org.cornelspoke.daemon.traffic.HttpDialect;
import org.cornelspoke.daemon.traffic.LocalApiFactory;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.transport.http.HttpHandler;
import org.cornelspoke.util.Assert;

/**
 * How a traffic daemon differs from the product's own interface and defaults. Not safe for use by
 * several threads.
 */
public final class TrafficProfile {

  private static final double INITIAL_RETRY_RATIO = 0.1;
  private static final long DRAIN_MILLIS = 2_000;
  private static final long STOP_TIMEOUT_MILLIS = 60_000;

  HttpDialect dialect = new DefaultDialect();
  Optional<LocalApiFactory> localApi = Optional.empty();
  Optional<Endpoint> readinessAddress = Optional.empty();
  Function<BooleanSupplier, HttpHandler> readinessApi;
  RetryThrottles throttles = RetryThrottles.shared(new DefaultRetryThrottle(INITIAL_RETRY_RATIO));
  Supplier<List<Endpoint>> relaySource = List::of;
  IntFunction<ConcurrencyLimit> limits = LimitAlgorithm.DEFAULT::create;
  ShareTimes shareTimes = ShareTimes.DEFAULT;
  Supplier<RootRequestThrottle> rootThrottles = RootRequestThrottle::none;
  double interactivePart;
  double rateFloorPart;
  long drainMillis = DRAIN_MILLIS;
  long stopTimeoutMillis = STOP_TIMEOUT_MILLIS;

  /** Replaces the interface of callers and upstreams. */
  public TrafficProfile withDialect(HttpDialect newDialect, LocalApiFactory newLocalApi) {
    this.dialect = Assert.notNull(newDialect, "newDialect");
    this.localApi = Optional.of(newLocalApi);
    return this;
  }

  /**
   * Adds an address that tells whether the daemon takes requests.
   *
   * @param api creates its handler from the daemon's readiness
   */
  public TrafficProfile withReadiness(
      Endpoint address, Function<BooleanSupplier, HttpHandler> api) {
    this.readinessAddress = Optional.of(address);
    this.readinessApi = Assert.notNull(api, "api");
    return this;
  }

  /** Sets where the relay addresses that the settings name at this moment come from. */
  public TrafficProfile withRelaySource(Supplier<List<Endpoint>> source) {
    this.relaySource = Assert.notNull(source, "source");
    return this;
  }

  /** Replaces the ratio budgets of repeated attempts. */
  public TrafficProfile withRetryThrottles(RetryThrottles newThrottles) {
    this.throttles = Assert.notNull(newThrottles, "newThrottles");
    return this;
  }

  /** Sets what creates the concurrency limit of an upstream from its announced slots. */
  public TrafficProfile withLimits(IntFunction<ConcurrencyLimit> newLimits) {
    this.limits = Assert.notNull(newLimits, "newLimits");
    return this;
  }

  /** Replaces the intervals of the rate shares; they must be those of the control daemons. */
  public TrafficProfile withShareTimes(ShareTimes times) {
    this.shareTimes = Assert.notNull(times, "times");
    return this;
  }

  /**
   * Lets each daemon serve a part of every account's rate without a share.
   *
   * @param part part of the rate that all daemons together serve in excess
   */
  public TrafficProfile withRateFloor(double part) {
    this.rateFloorPart = part;
    return this;
  }

  /**
   * Sets the part of an upstream's slots that requests for which a person waits get in any case.
   */
  public TrafficProfile withInteractivePart(double part) {
    this.interactivePart = part;
    return this;
  }

  /** Sets what bounds root requests whose calls fail; one for each upstream. */
  public TrafficProfile withRootThrottles(Supplier<RootRequestThrottle> throttles) {
    this.rootThrottles = Assert.notNull(throttles, "throttles");
    return this;
  }

  /** Replaces the times of a graceful stop. */
  public TrafficProfile withStopTimes(long newDrainMillis, long newStopTimeoutMillis) {
    this.drainMillis = newDrainMillis;
    this.stopTimeoutMillis = newStopTimeoutMillis;
    return this;
  }
}
