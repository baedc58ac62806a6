package org.cornelspoke.model;

import com.google.common.net.InetAddresses;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import org.cornelspoke.util.Assert;

/**
 * Address of a process: an IPv4 or IPv6 number and a TCP port. Host names are refused, because
 * processes find each other by IP number.
 */
public record Endpoint(String ip, int port) {

  private static final int MAX_PORT = 65_535;

  /**
   * Checks both parts.
   *
   * @throws IllegalArgumentException if the address is not an IP number or the port is out of range
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

  /** Returns the socket address. No name is looked up. */
  public InetSocketAddress toSocketAddress() {
    try {
      return new InetSocketAddress(InetAddress.getByName(ip), port);
    } catch (UnknownHostException e) {
      throw new IllegalStateException("not an IP number: " + ip, e);
    }
  }

  @Override
  public String toString() {
    return ip + ":" + port;
  }
}
