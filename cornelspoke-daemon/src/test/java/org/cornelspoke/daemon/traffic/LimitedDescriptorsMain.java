package org.cornelspoke.daemon.traffic;

import java.io.BufferedReader;
import java.io.FileInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.cornelspoke.transport.http.ConnectionLimits;

/**
 * Runs a daemon in a process with few descriptors, controlled by lines on standard input: {@code
 * exhaust} opens files until no descriptor is left, {@code release} closes them and prints how
 * often accepting was paused.
 */
final class LimitedDescriptorsMain {

  /** Begins the lines of standard output that answer a command; others are log lines. */
  static final String ANSWER_PREFIX = "answer:";

  private LimitedDescriptorsMain() {}

  public static void main(String[] args) throws Exception {
    try (TestFleet fleet = new TestFleet()) {
      fleet.connectionLimits = ConnectionLimits.ofProcess();
      StandInUpstream upstream = StandInUpstream.answering("ok");
      TrafficDaemon daemon = fleet.start("a");
      TestFleet.announce(daemon, "svc", upstream, 1_000);
      answer(daemon.edgeAddress().getPort());
      BufferedReader commands =
          new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
      List<FileInputStream> files = new ArrayList<>();
      for (String command = commands.readLine(); command != null; command = commands.readLine()) {
        if (command.equals("exhaust")) {
          exhaust(files);
          answer("exhausted");
        } else {
          for (FileInputStream file : files) {
            file.close();
          }
          answer(fleet.metrics.get("a").counter("eventloop.traffic.accept-pauses").getCount());
        }
      }
      Runtime.getRuntime().halt(0);
    }
  }

  private static void answer(Object text) {
    System.out.println(ANSWER_PREFIX + text);
  }

  private static void exhaust(List<FileInputStream> files) {
    try {
      while (true) {
        files.add(new FileInputStream("/dev/null"));
      }
    } catch (IOException e) {
      // No descriptor is left.
    }
  }
}
