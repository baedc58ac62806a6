package org.cornelspoke.daemon.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.cornelspoke.model.TrafficClass;
import org.junit.jupiter.api.Test;

class UnstartedRequestTest {

  private static final int CALLERS = 8;
  private static final int REQUESTS_PER_CALLER = 5;
  private static final int TIMEOUT_MILLIS = 100;
  private static final long MAX_PAUSE_MILLIS = 40;

  /** A stalled machine can spoil a round; a daemon that answers too early spoils nearly all. */
  private static final int ROUNDS = 6;

  private final CountDownLatch release = new CountDownLatch(1);

  /** Guards against a time-out in place of "not run" for a request that waits at its target. */
  @Test
  void requestThatWaitsUntilItsTimeoutIsReportedAsNotRun() throws Exception {
    ExecutorService callers = Executors.newFixedThreadPool(CALLERS + 1);
    try (TestFleet fleet = new TestFleet();
        StandInUpstream upstream =
            new StandInUpstream(
                (head, body, socket) -> {
                  if (head.contains("/hold")) {
                    release.await();
                  }
                  StandInUpstream.respond(socket, 200, "ok");
                })) {
      fleet.replace(
          TestFleet.route("/hold", "svc", TrafficClass.INTERACTIVE, true, true, 60_000),
          TestFleet.route("/wait", "svc", TrafficClass.INTERACTIVE, true, true, TIMEOUT_MILLIS));
      TrafficDaemon edge = fleet.start("edge");
      TestFleet.announce(fleet.start("a"), "svc", upstream, 1);
      fleet.awaitRoute(edge, "/open/plain");
      Future<?> held = callers.submit(() -> send(edge, "/hold"));
      TestFleet.await(() -> upstream.requestHeads.stream().anyMatch(h -> h.contains("/hold")));
      List<Integer> uncertain = new ArrayList<>();
      for (int round = 0; round < ROUNDS; round++) {
        uncertain.add(countUncertain(callers, edge));
      }
      assertThat(held.isDone()).isFalse();
      assertThat(Collections.frequency(uncertain, 0)).isAtLeast(ROUNDS / 2);
      assertThat(upstream.requestHeads.stream().anyMatch(h -> h.contains("/wait"))).isFalse();
    } finally {
      release.countDown();
      callers.shutdownNow();
    }
  }

  private static int countUncertain(ExecutorService callers, TrafficDaemon edge) throws Exception {
    List<Future<Integer>> counts = new ArrayList<>();
    for (int caller = 0; caller < CALLERS; caller++) {
      Random random = new Random(caller);
      counts.add(
          callers.submit(
              () -> {
                int uncertain = 0;
                for (int i = 0; i < REQUESTS_PER_CALLER; i++) {
                  Thread.sleep(random.nextLong(MAX_PAUSE_MILLIS));
                  uncertain += send(edge, "/wait").reason().equals("upstream-timeout") ? 1 : 0;
                }
                return uncertain;
              }));
    }
    int sum = 0;
    for (Future<Integer> count : counts) {
      sum += count.get();
    }
    return sum;
  }

  private static RawClient.Response send(TrafficDaemon edge, String path) throws Exception {
    return RawClient.once(edge.edgeAddress(), RawClient.request("GET", path, ""));
  }
}
