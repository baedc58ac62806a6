package org.cornelspoke.daemon.runtime;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.IntFunction;
import java.util.function.Supplier;
import org.cornelspoke.coordination.admission.ChainAdmissionSettings;
import org.cornelspoke.coordination.admission.ConcurrencyLimit;
import org.cornelspoke.coordination.admission.LimitAlgorithm;
import org.cornelspoke.coordination.admission.RootRequestThrottle;
import org.cornelspoke.coordination.quota.ShareTimes;
import org.cornelspoke.coordination.retry.DefaultRetryThrottle;
import org.cornelspoke.coordination.retry.RetryThrottles;
import org.cornelspoke.daemon.settings.LearnedCapacitySettings;
import org.cornelspoke.daemon.traffic.DefaultDialect;
import org.cornelspoke.daemon.traffic.HttpDialect;
import org.cornelspoke.daemon.traffic.LocalApiFactory;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.transport.http.HttpHandler;
import org.cornelspoke.util.Assert;

/**
 * Deployment-specific overrides of a traffic daemon's HTTP interface and defaults. Not thread-safe.
 */
public final class TrafficProfile {

  private static final double INITIAL_RETRY_RATIO = 0.1;
  private static final long DEFAULT_DRAIN_MILLIS = 2_000;
  private static final long DEFAULT_STOP_TIMEOUT_MILLIS = 60_000;

  HttpDialect dialect = new DefaultDialect();
  Optional<LocalApiFactory> localApi = Optional.empty();
  Optional<Endpoint> readinessAddress = Optional.empty();
  Function<BooleanSupplier, HttpHandler> readinessApi;
  RetryThrottles retryThrottles =
      RetryThrottles.shared(new DefaultRetryThrottle(INITIAL_RETRY_RATIO));
  Supplier<List<Endpoint>> relaySource = List::of;
  IntFunction<ConcurrencyLimit> concurrencyLimits = LimitAlgorithm.DEFAULT::create;
  ShareTimes shareTimes = ShareTimes.DEFAULT;
  Supplier<RootRequestThrottle> rootThrottles = RootRequestThrottle::none;
  Optional<ChainAdmissionSettings> chainAdmission = Optional.empty();
  OptionalInt returnKeepMillis = OptionalInt.empty();
  Optional<LearnedCapacitySettings> learnedCapacity = Optional.empty();
  double reservedInteractiveFraction;
  double rateFloorFraction;
  long drainMillis = DEFAULT_DRAIN_MILLIS;
  long stopTimeoutMillis = DEFAULT_STOP_TIMEOUT_MILLIS;

  /** Replaces the HTTP dialect of callers and upstreams and the local API of upstreams. */
  public TrafficProfile withDialect(HttpDialect newDialect, LocalApiFactory newLocalApi) {
    this.dialect = Assert.notNull(newDialect, "newDialect");
    this.localApi = Optional.of(newLocalApi);
    return this;
  }

  /**
   * Adds a readiness endpoint, which reports whether the daemon accepts requests.
   *
   * @param api creates the endpoint's handler from the daemon's readiness
   */
  public TrafficProfile withReadiness(
      Endpoint address, Function<BooleanSupplier, HttpHandler> api) {
    this.readinessAddress = Optional.of(address);
    this.readinessApi = Assert.notNull(api, "api");
    return this;
  }

  /** Sets the supplier of the relay addresses that are currently configured; it is polled. */
  public TrafficProfile withRelaySource(Supplier<List<Endpoint>> source) {
    this.relaySource = Assert.notNull(source, "source");
    return this;
  }

  /** Replaces the throttles that limit retries to a ratio of the requests. */
  public TrafficProfile withRetryThrottles(RetryThrottles newThrottles) {
    this.retryThrottles = Assert.notNull(newThrottles, "newThrottles");
    return this;
  }

  /** Sets the factory that creates an upstream's concurrency limit from its announced slots. */
  public TrafficProfile withConcurrencyLimits(IntFunction<ConcurrencyLimit> newLimits) {
    this.concurrencyLimits = Assert.notNull(newLimits, "newLimits");
    return this;
  }

  /**
   * Replaces the settings of the learned capacity. If it is enabled, gates learn their limit, which
   * replaces {@link #withConcurrencyLimits}, and targets are chosen by what is learned.
   */
  public TrafficProfile withLearnedCapacity(LearnedCapacitySettings newLearnedCapacity) {
    this.learnedCapacity = Optional.of(newLearnedCapacity);
    return this;
  }

  /** Replaces the timing of the rate shares, which must match that of the control daemons. */
  public TrafficProfile withShareTimes(ShareTimes times) {
    this.shareTimes = Assert.notNull(times, "times");
    return this;
  }

  /**
   * Lets each daemon admit a fraction of every account's rate without a share.
   *
   * @param fraction fraction of an account's rate that all daemons together may admit above it
   */
  public TrafficProfile withRateFloorFraction(double fraction) {
    this.rateFloorFraction = fraction;
    return this;
  }

  /**
   * Sets the fraction of an upstream's slots that is reserved for requests of interactive users.
   */
  public TrafficProfile withReservedInteractiveFraction(double fraction) {
    this.reservedInteractiveFraction = fraction;
    return this;
  }

  /**
   * Sets the factory of the throttles, one per upstream, that limit root requests while the calls
   * they make are failing.
   */
  public TrafficProfile withRootThrottles(Supplier<RootRequestThrottle> throttles) {
    this.rootThrottles = Assert.notNull(throttles, "throttles");
    return this;
  }

  /** Replaces the block {@code chainAdmission} of the settings. */
  public TrafficProfile withChainAdmission(ChainAdmissionSettings settings) {
    this.chainAdmission = Optional.of(settings);
    return this;
  }

  /**
   * Tells callers that are refused for their rate when a token is expected for them.
   *
   * @param keepMillis time for which a token stays reserved after its return time
   */
  public TrafficProfile withScheduledReturns(int keepMillis) {
    Assert.isTrue(keepMillis > 0, "keepMillis must be positive");
    this.returnKeepMillis = OptionalInt.of(keepMillis);
    return this;
  }

  /** Replaces the drain time and the timeout of a graceful stop. */
  public TrafficProfile withStopTimes(long newDrainMillis, long newStopTimeoutMillis) {
    this.drainMillis = newDrainMillis;
    this.stopTimeoutMillis = newStopTimeoutMillis;
    return this;
  }
}
