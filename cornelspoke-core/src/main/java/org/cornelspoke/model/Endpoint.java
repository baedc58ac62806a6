package org.cornelspoke.model;

import com.google.common.net.InetAddresses;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import org.cornelspoke.util.Assert;

/**
 * Network address of a process: an IPv4 or IPv6 address and a TCP port. Host names are rejected,
 * because processes address each other by IP address only.
 */
public record Endpoint(String ip, int port) {

  private static final int MAX_PORT = 65_535;

  /**
   * Checks the address and the port.
   *
   * @throws IllegalArgumentException if the text is not an IP address or the port is out of range
   */
  public Endpoint {
    Assert.isTrue(ip != null && InetAddresses.isInetAddress(ip), "ip must be an IP number: " + ip);
    Assert.isTrue(port >= 0 && port <= MAX_PORT, "port must be between 0 and 65535: " + port);
  }

  /**
   * Parses {@code ip:port}.
   *
   * @throws IllegalArgumentException if the text has another form
   */
  public static Endpoint parse(String text) {
    int colon = text == null ? -1 : text.lastIndexOf(':');
    Assert.isTrue(colon > 0, "endpoint must have the form ip:port: " + text);
    try {
      return new Endpoint(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("port must be a number: " + text, e);
    }
  }

  /** Returns the socket address, without a DNS lookup. */
  public InetSocketAddress toSocketAddress() {
    try {
      return new InetSocketAddress(InetAddress.getByName(ip), port);
    } catch (UnknownHostException e) {
      throw new IllegalStateException("not an IP address: " + ip, e);
    }
  }

  @Override
  public String toString() {
    return ip + ":" + port;
  }
}
