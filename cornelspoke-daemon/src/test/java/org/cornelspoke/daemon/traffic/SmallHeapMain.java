package org.cornelspoke.daemon.traffic;

/**
 * Runs a daemon in a process with a small heap until standard input ends. The first argument is the
 * maximum size of a body in bytes. Prints the ports of the edge and of the announcement API.
 */
final class SmallHeapMain {

  /** Begins the line of standard output with the ports; others are log lines. */
  static final String ANSWER_PREFIX = "answer:";

  private SmallHeapMain() {}

  public static void main(String[] args) throws Exception {
    try (TestFleet fleet = new TestFleet()) {
      fleet.maxBodyBytes = Integer.parseInt(args[0]);
      TrafficDaemon daemon = fleet.start("a");
      System.out.println(
          ANSWER_PREFIX + daemon.edgeAddress().getPort() + " " + daemon.localAddress().getPort());
      System.in.readAllBytes();
      Runtime.getRuntime().halt(0);
    }
  }
}
