package org.cornelspoke.transport.http;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import org.cornelspoke.util.Assert;

/**
 * Limits of the open connections of a server, so that they leave descriptors for other uses.
 *
 * @param maxConnections number of connections from which on the server closes idle ones and, if
 *     there are none, refuses the requests of new ones
 * @param maxRefusedConnections number of connections above {@code maxConnections} that are open at
 *     the same time to refuse their requests; further ones are closed at once
 */
public record ConnectionLimits(int maxConnections, int maxRefusedConnections) {

  /** No limits. */
  public static final ConnectionLimits UNLIMITED =
      new ConnectionLimits(Integer.MAX_VALUE / 2, Integer.MAX_VALUE / 2);

  private static final double CONNECTIONS_FRACTION = 0.6;
  private static final double REFUSED_FRACTION = 0.1;

  /** Checks the limits. */
  public ConnectionLimits {
    Assert.isTrue(maxConnections > 0, "maxConnections must be positive");
    Assert.isTrue(maxRefusedConnections >= 0, "maxRefusedConnections must be 0 or more");
  }

  /**
   * Returns limits for the only large server of this process. Without a limit of the system there
   * are no limits.
   */
  public static ConnectionLimits ofProcess() {
    if (ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system
        && system.getMaxFileDescriptorCount() > 0) {
      return ofDescriptors(system.getMaxFileDescriptorCount());
    }
    return UNLIMITED;
  }

  /** Returns limits for the only large server of a process that may open so many descriptors. */
  public static ConnectionLimits ofDescriptors(long descriptors) {
    long bounded = Math.min(descriptors, UNLIMITED.maxConnections());
    return new ConnectionLimits(
        (int) Math.max(1, bounded * CONNECTIONS_FRACTION), (int) (bounded * REFUSED_FRACTION));
  }
}
