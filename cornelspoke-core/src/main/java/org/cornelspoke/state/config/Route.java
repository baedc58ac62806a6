package org.cornelspoke.state.config;

import java.util.List;
import org.cornelspoke.model.RouteId;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.util.Assert;

/**
 * Maps requests to services. The route with the longest matching path prefix wins; of two with the
 * same prefix, the one that names the method.
 *
 * @param host the host that requests must name, in lower case; empty for any host
 * @param method HTTP method, or {@code *} for any
 * @param pathPrefix start of the path, with a leading slash; matches whole path segments
 * @param services the services among which requests are distributed by weight, at least one
 * @param open true if no client key is needed
 * @param repeatable true if running a request twice does no harm
 * @param timeoutMillis longest time for the whole request
 * @param latencyObjectiveMillis time within which an answer is of full use to the caller
 * @param maxAttempts upstreams to which one request may be sent at most
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

  /** The method of a route that matches every method. */
  public static final String ANY_METHOD = "*";

  /** The host of a route that matches every host. */
  public static final String ANY_HOST = "";

  /** Attempts of a route that leaves their number to the retry budgets. */
  public static final int MAX_ATTEMPTS = 100;

  /** Checks every part. */
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

  /** Creates a route for any host to one service, whose attempts only the budgets bound. */
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

  /** Returns the only service, or the first one of several. */
  public ServiceName service() {
    return services.get(0).service();
  }

  /** Returns true if the route serves the host, the method and the path (without its query). */
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
