package org.cornelspoke.bench.deployment;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Finds free TCP ports below the range from which the system takes ports of outgoing connections.
 */
public final class FreePorts {

  private static final int FIRST = 18_000;
  private static final int LAST = 32_000;
  private static final int MAX_TRIES = 10_000;

  private FreePorts() {}

  /**
   * Returns different ports that were free a moment ago.
   *
   * @throws IllegalStateException if too few are free
   */
  public static List<Integer> find(int count, Random random) {
    List<ServerSocket> held = new ArrayList<>();
    try {
      for (int i = 0; i < MAX_TRIES && held.size() < count; i++) {
        tryHold(FIRST + random.nextInt(LAST - FIRST), held);
      }
      if (held.size() < count) {
        throw new IllegalStateException("fewer than " + count + " free ports");
      }
      return held.stream().map(ServerSocket::getLocalPort).toList();
    } finally {
      held.forEach(FreePorts::close);
    }
  }

  private static void tryHold(int port, List<ServerSocket> held) {
    try {
      held.add(new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
    } catch (IOException e) {
      System.getLogger(FreePorts.class.getName())
          .log(System.Logger.Level.DEBUG, "port {0} is in use", port);
    }
  }

  private static void close(ServerSocket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
