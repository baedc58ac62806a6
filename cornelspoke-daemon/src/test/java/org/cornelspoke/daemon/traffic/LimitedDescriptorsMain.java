package org.cornelspoke.daemon.traffic;

import java.io.BufferedReader;
import java.io.FileInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.locks.LockSupport;
import org.cornelspoke.transport.http.ConnectionLimits;

/**
 * Runs a daemon in a process with few descriptors, controlled by lines on standard input: {@code
 * exhaust} opens files until no descriptor is left, {@code stop} stops the daemon, {@code release}
 * closes the files and prints how often accepting was paused.
 */
final class LimitedDescriptorsMain {

  /** Begins the lines of standard output that answer a command; others are log lines. */
  static final String ANSWER_PREFIX = "answer:";

  private static final long RETRY_NANOS = 100_000;

  private LimitedDescriptorsMain() {}

  public static void main(String[] args) throws Exception {
    try (TestFleet fleet = new TestFleet()) {
      fleet.connectionLimits = ConnectionLimits.ofProcess();
      StandInUpstream upstream = StandInUpstream.answering("ok");
      // Loads the classes of a stop, which takes descriptors if they are not in archives.
      fleet.start("loads-classes").stop().get();
      TrafficDaemon daemon = fleet.start("a");
      TestFleet.announce(daemon, "svc", upstream, 1_000);
      answer(daemon.edgeAddress().getPort());
      BufferedReader commands =
          new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
      Thread exhaustion = null;
      for (String command = commands.readLine(); command != null; command = commands.readLine()) {
        if (command.equals("exhaust")) {
          CountDownLatch exhausted = new CountDownLatch(1);
          exhaustion = new Thread(() -> exhaust(exhausted), "exhaustion");
          exhaustion.setDaemon(true);
          exhaustion.start();
          exhausted.await();
          answer("exhausted");
        } else if (command.equals("stop")) {
          daemon.stop().get();
          answer("stopped");
        } else {
          exhaustion.interrupt();
          exhaustion.join();
          answer(fleet.metrics.get("a").counter("eventloop.traffic.accept-pauses").getCount());
        }
      }
      Runtime.getRuntime().halt(0);
    }
  }

  private static void answer(Object text) {
    System.out.println(ANSWER_PREFIX + text);
  }

  /** Opens files, also while others close theirs, until it is interrupted. */
  private static void exhaust(CountDownLatch exhausted) {
    List<FileInputStream> files = new ArrayList<>();
    while (!Thread.currentThread().isInterrupted()) {
      try {
        files.add(new FileInputStream("/dev/null"));
      } catch (IOException e) {
        exhausted.countDown();
        LockSupport.parkNanos(RETRY_NANOS);
      }
    }
    for (FileInputStream file : files) {
      try {
        file.close();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }
}
