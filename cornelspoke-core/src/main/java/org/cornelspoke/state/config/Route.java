package org.cornelspoke.state.config;

import org.cornelspoke.model.RouteId;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.util.Assert;

/**
 * Maps requests to a service. The route with the longest matching path prefix wins; of two with the
 * same prefix, the one that names the method.
 *
 * @param method HTTP method, or {@code *} for any
 * @param pathPrefix start of the path, with a leading slash; matches whole path segments
 * @param open true if no client key is needed
 * @param repeatable true if running a request twice does no harm
 * @param timeoutMillis longest time for the whole request when the caller names no deadline
 */
public record Route(
    RouteId id,
    String method,
    String pathPrefix,
    ServiceName service,
    TrafficClass trafficClass,
    boolean open,
    boolean repeatable,
    long timeoutMillis)
    implements ConfigEntity {

  /** The method of a route that matches every method. */
  public static final String ANY_METHOD = "*";

  /** Checks every part. */
  public Route {
    Assert.notNull(id, "id");
    Assert.isTrue(
        method != null && method.matches("\\*|[A-Z]{3,7}"), "method must be an HTTP method or *");
    Assert.isTrue(pathPrefix != null && pathPrefix.startsWith("/"), "pathPrefix must start with /");
    Assert.notNull(service, "service");
    Assert.notNull(trafficClass, "trafficClass");
    Assert.isTrue(timeoutMillis > 0, "timeoutMillis must be positive");
  }

  /** Returns true if the route matches the method and the path (without its query). */
  public boolean matches(String requestMethod, String path) {
    return (method.equals(ANY_METHOD) || method.equals(requestMethod))
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
