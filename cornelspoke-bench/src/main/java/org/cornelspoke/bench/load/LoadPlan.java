package org.cornelspoke.bench.load;

import java.util.List;
import java.util.Map;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.util.Assert;

/**
 * The load of one run.
 *
 * @param runId distinguishes the request ids of this run from those of other runs
 * @param warmupMillis requests due before this time are excluded from the latencies
 * @param edges addresses of the edges; each request goes to a random one
 * @param phases time spans with a different offered rate; outside all phases the factor is 1
 */
public record LoadPlan(
    String runId,
    long seed,
    long durationMillis,
    long warmupMillis,
    List<String> edges,
    List<Caller> accounts,
    List<CalledRoute> routes,
    Retries retries,
    List<Phase> phases) {

  /** Validates the plan and fills in defaults. */
  public LoadPlan {
    Assert.hasText(runId, "runId");
    Assert.isTrue(runId.matches("[a-z0-9]+"), "runId must match [a-z0-9]+");
    Assert.isTrue(durationMillis > 0, "durationMillis must be positive");
    Assert.isTrue(warmupMillis >= 0, "warmupMillis must be 0 or more");
    Assert.isTrue(edges != null && !edges.isEmpty(), "edges must not be empty");
    edges.forEach(Endpoint::parse);
    Assert.isTrue(accounts != null && !accounts.isEmpty(), "accounts must not be empty");
    Assert.isTrue(routes != null && !routes.isEmpty(), "routes must not be empty");
    retries = retries == null ? new Retries(1, true, 0) : retries;
    phases = phases == null ? List.of() : List.copyOf(phases);
  }

  /**
   * A client account that sends requests.
   *
   * @param keys keys of the account, used in rotation
   * @param offeredPerSecond requests per second that the account sends, without retries
   * @param rateTokensPerSecond the account's configured rate
   * @param burstTokens the account's configured burst
   * @param routeWeights weights by route name that differ from those of the routes, or null
   */
  public record Caller(
      String id,
      List<Key> keys,
      double offeredPerSecond,
      double rateTokensPerSecond,
      double burstTokens,
      Map<String, Double> routeWeights) {

    /** Validates the account and fills in defaults. */
    public Caller {
      Assert.isTrue(
          id != null && id.matches("[a-z0-9-]+"), "account id must match [a-z0-9-]+: " + id);
      Assert.isTrue(offeredPerSecond > 0, "offeredPerSecond must be positive");
      Assert.isTrue(rateTokensPerSecond > 0, "rateTokensPerSecond must be positive");
      Assert.isTrue(burstTokens >= 1, "burstTokens must be 1 or more");
      keys = keys == null ? List.of() : List.copyOf(keys);
      routeWeights = routeWeights == null ? Map.of() : Map.copyOf(routeWeights);
    }
  }

  /** A client key and its id in the configuration. */
  public record Key(String id, String key) {}

  /**
   * A route to which requests are sent.
   *
   * @param weight relative frequency of the route among an account's requests
   * @param unrepeatable true if each request carries an {@code Idempotency-Key}
   * @param open true if requests carry no key
   * @param deadlineMillis time for the whole request including the caller's retries
   * @param bodyBytes size of the request body
   */
  public record CalledRoute(
      String name,
      String method,
      String path,
      TrafficClass trafficClass,
      double weight,
      boolean unrepeatable,
      boolean open,
      long deadlineMillis,
      int bodyBytes) {

    /** Validates the components. */
    public CalledRoute {
      Assert.hasText(name, "name");
      Assert.hasText(method, "method");
      Assert.isTrue(path != null && path.startsWith("/"), "path must start with /");
      Assert.notNull(trafficClass, "trafficClass");
      Assert.notNegative(weight, "weight");
      Assert.isTrue(deadlineMillis > 0, "deadlineMillis must be positive");
      Assert.isTrue(bodyBytes >= 0, "bodyBytes must be 0 or more");
    }
  }

  /**
   * How a caller retries failed requests.
   *
   * @param maxAttempts attempts of one request, the first included
   * @param honourRetryAfter true if the caller waits as long as {@code Retry-After} requires
   * @param backoffMillis mean delay before a retry, in addition to a {@code Retry-After} that is
   *     honoured
   */
  public record Retries(int maxAttempts, boolean honourRetryAfter, long backoffMillis) {

    /** Validates the components. */
    public Retries {
      Assert.isTrue(maxAttempts >= 1, "maxAttempts must be 1 or more");
      Assert.isTrue(backoffMillis >= 0, "backoffMillis must be 0 or more");
    }
  }

  /**
   * A time span in which the offered rate is multiplied by a factor.
   *
   * @param account the account to which the phase applies, or null for all accounts
   */
  public record Phase(long fromMillis, long toMillis, double factor, String account) {

    /** Validates the components. */
    public Phase {
      Assert.isTrue(fromMillis >= 0 && toMillis > fromMillis, "a phase must have a length");
      Assert.notNegative(factor, "factor");
    }

    boolean covers(String callerId, double atMillis) {
      return (account == null || account.equals(callerId))
          && atMillis >= fromMillis
          && atMillis < toMillis;
    }
  }

  /** Returns the factor by which an account's offered rate is multiplied at the given time. */
  double factor(String callerId, double atMillis) {
    double factor = 1;
    for (Phase phase : phases) {
      if (phase.covers(callerId, atMillis)) {
        factor *= phase.factor();
      }
    }
    return factor;
  }
}
