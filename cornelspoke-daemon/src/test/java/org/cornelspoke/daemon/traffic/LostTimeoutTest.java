package org.cornelspoke.daemon.traffic;

import static com.google.common.truth.Truth.assertThat;
import static org.cornelspoke.daemon.traffic.RawClient.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.cornelspoke.daemon.traffic.RawClient.Response;
import org.cornelspoke.model.TrafficClass;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LostTimeoutTest {

  private static final int CALLERS = 30;
  private static final int REQUESTS_PER_CALLER = 8;
  private static final int SLOTS = 3;
  private static final int[] TIMEOUTS_MILLIS = {100, 300, 700};

  private final CountDownLatch release = new CountDownLatch(1);

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void everyRequestIsAnsweredWhateverItsUpstreamDoes(long seed) throws Exception {
    ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
    try (TestFleet fleet = new TestFleet();
        StandInUpstream first = new StandInUpstream(faulty(seed));
        StandInUpstream second = new StandInUpstream(faulty(seed + 100))) {
      for (int timeoutMillis : TIMEOUTS_MILLIS) {
        fleet.replace(
            TestFleet.route(
                "/t" + timeoutMillis, "svc", TrafficClass.INTERACTIVE, true, true, timeoutMillis));
      }
      TrafficDaemon edge = fleet.start("edge");
      TestFleet.announce(fleet.start("a"), "svc", first, SLOTS);
      TestFleet.announce(fleet.start("b"), "svc", second, SLOTS);
      fleet.awaitRoute(edge, "/open/plain");
      List<Future<Integer>> answered = new ArrayList<>();
      for (int caller = 0; caller < CALLERS; caller++) {
        answered.add(callers.submit(caller(edge, new Random(seed * 1_000 + caller))));
      }
      for (Future<Integer> count : answered) {
        assertThat(count.get()).isEqualTo(REQUESTS_PER_CALLER);
      }
      fleet.awaitRoute(edge, "/open/plain");
    } finally {
      release.countDown();
      callers.shutdownNow();
    }
  }

  private static Callable<Integer> caller(TrafficDaemon edge, Random random) {
    return () -> {
      int answers = 0;
      for (int i = 0; i < REQUESTS_PER_CALLER; i++) {
        int timeoutMillis = TIMEOUTS_MILLIS[random.nextInt(TIMEOUTS_MILLIS.length)];
        Response response =
            RawClient.once(edge.edgeAddress(), request("GET", "/t" + timeoutMillis, ""));
        answers += response == null ? 0 : 1;
      }
      return answers;
    };
  }

  private StandInUpstream.Script faulty(long seed) {
    Random random = new Random(seed);
    return (head, body, socket) -> {
      int choice;
      synchronized (random) {
        choice = random.nextInt(7);
      }
      if (head.contains("/open/plain") || choice == 0) {
        StandInUpstream.respond(socket, 200, "ok");
      } else if (choice == 1) {
        Thread.sleep(200);
        StandInUpstream.respond(socket, 200, "ok");
      } else if (choice == 2) {
        release.await();
      } else if (choice == 3) {
        socket.close();
      } else if (choice == 4) {
        StandInUpstream.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
        socket.close();
      } else if (choice == 5) {
        StandInUpstream.respond(socket, 503, "", "Cornelspoke-Shed: 1");
      } else {
        StandInUpstream.write(socket, "HTTP/1.1 200 OK\r\nContent-Le");
        release.await();
      }
    };
  }
}
