package org.cornelspoke.state.config;

import java.util.List;
import org.cornelspoke.model.RouteId;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.util.Assert;

/**
 * Maps requests to services. Of the matching routes, the one with the longest path prefix applies;
 * among equally long prefixes, a route for the request's method precedes one for any method.
 *
 * @param host host of the requests, in lower case; empty for any host
 * @param method HTTP method, or {@code *} for any
 * @param pathPrefix path prefix with a leading slash; matches whole path segments
 * @param services services among which requests are distributed by weight; at least one
 * @param open true if requests need no client key
 * @param repeatable true if requests are idempotent and may be run more than once
 * @param timeoutMillis maximum time for the complete request
 * @param latencyObjectiveMillis latency within which a response has its full value to the caller
 * @param maxAttempts maximum number of upstreams to which one request is sent
 */
public record Route(
    RouteId id,
    String host,
    String method,
    String pathPrefix,
    List<WeightedService> services,
    TrafficClass trafficClass,
    boolean open,
    boolean repeatable,
    long timeoutMillis,
    long latencyObjectiveMillis,
    int maxAttempts)
    implements ConfigEntity {

  /** Method of a route that matches every method. */
  public static final String ANY_METHOD = "*";

  /** Host of a route that matches every host. */
  public static final String ANY_HOST = "";

  /** Maximum attempts of a route whose attempts are limited by the retry budgets only. */
  public static final int MAX_ATTEMPTS = 100;

  /** Checks all components. */
  public Route {
    Assert.notNull(id, "id");
    Assert.notNull(host, "host");
    Assert.isTrue(
        method != null && method.matches("\\*|[A-Z]{3,7}"), "method must be an HTTP method or *");
    Assert.isTrue(pathPrefix != null && pathPrefix.startsWith("/"), "pathPrefix must start with /");
    Assert.isTrue(services != null && !services.isEmpty(), "services must not be empty");
    services = List.copyOf(services);
    Assert.notNull(trafficClass, "trafficClass");
    Assert.isTrue(timeoutMillis > 0, "timeoutMillis must be positive");
    Assert.isTrue(latencyObjectiveMillis > 0, "latencyObjectiveMillis must be positive");
    Assert.isTrue(
        maxAttempts >= 1 && maxAttempts <= MAX_ATTEMPTS,
        "maxAttempts must be between 1 and " + MAX_ATTEMPTS);
  }

  /** Creates a route for any host to one service, with attempts limited by the budgets only. */
  public Route(
      RouteId id,
      String method,
      String pathPrefix,
      ServiceName service,
      TrafficClass trafficClass,
      boolean open,
      boolean repeatable,
      long timeoutMillis) {
    this(
        id,
        ANY_HOST,
        method,
        pathPrefix,
        List.of(new WeightedService(service, 1)),
        trafficClass,
        open,
        repeatable,
        timeoutMillis,
        timeoutMillis,
        MAX_ATTEMPTS);
  }

  /** Returns the first service. */
  public ServiceName service() {
    return services.get(0).service();
  }

  /** Returns true if the route matches the host, the method and the path without its query. */
  public boolean matches(String requestHost, String requestMethod, String path) {
    return (host.equals(ANY_HOST) || host.equals(requestHost))
        && (method.equals(ANY_METHOD) || method.equals(requestMethod))
        && path.startsWith(pathPrefix)
        && (path.length() == pathPrefix.length()
            || pathPrefix.endsWith("/")
            || path.charAt(pathPrefix.length()) == '/');
  }

  @Override
  public EntityId entityId() {
    return new EntityId(EntityKind.ROUTE, id.value());
  }
}
