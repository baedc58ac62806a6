package org.cornelspoke.daemon.traffic;

import static com.google.common.truth.Truth.assertThat;
import static org.cornelspoke.daemon.traffic.RawClient.request;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.cornelspoke.daemon.traffic.RawClient.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ChainTest {

  private static final int DEPTH = 21;
  private static final int BUDGET = 2;

  private final TestFleet fleet = new TestFleet();
  private final List<TrafficDaemon> daemons = new ArrayList<>();
  private final AtomicInteger calls = new AtomicInteger();
  private final ConcurrentHashMap<String, Integer> callsByPath = new ConcurrentHashMap<>();

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  /** Guards against retries that multiply at each hop of a deep chain whose last call fails. */
  @Test
  void failingChainMakesAtMostItsBudgetOfExtraCalls() throws Exception {
    try (StandInUpstream first = new StandInUpstream(chainStep(0, true));
        StandInUpstream second = new StandInUpstream(chainStep(1, true));
        StandInUpstream third = new StandInUpstream(chainStep(2, true))) {
      startAll(first, second, third);
      Response response = callChain();
      assertThat(response.status()).isEqualTo(502);
      assertThat(response.verdict()).isEqualTo("may-have-run");
      assertThat(calls.get()).isAtMost(DEPTH + BUDGET);
      // The budget is used, and the deepest call gets some of it.
      assertThat(calls.get()).isGreaterThan(DEPTH);
      assertThat(callsByPath.get("/read/" + DEPTH)).isAtLeast(2);
    }
  }

  /** Guards against nested calls that lose their account, class or deadline in a deep chain. */
  @Test
  void deepChainIsAnswered() throws Exception {
    try (StandInUpstream first = new StandInUpstream(chainStep(0, false));
        StandInUpstream second = new StandInUpstream(chainStep(1, false));
        StandInUpstream third = new StandInUpstream(chainStep(2, false))) {
      startAll(first, second, third);
      fleet.withinRate.set(true);
      Response response = callChain();
      assertThat(response.status()).isEqualTo(200);
      assertThat(response.body()).isEqualTo("end");
      assertThat(calls.get()).isEqualTo(DEPTH);
    }
  }

  /** Guards against nested calls that are accepted with a forged or altered context. */
  @Test
  void forgedContextIsRejected() throws Exception {
    try (StandInUpstream upstream = StandInUpstream.answering("ok")) {
      TrafficDaemon daemon = fleet.startWith("a", "svc", upstream);
      RawClient.once(daemon.edgeAddress(), request("GET", "/read", "", TestFleet.KEY));
      String context =
          StandInUpstream.headerOf(upstream.requestHeads.get(0), "Cornelspoke-Context");
      String forged = (context.charAt(5) == 'A' ? "B" : "A") + context.substring(1);
      for (String invalidContext : List.of(forged, "x", context + "x")) {
        assertThat(withContext(daemon, "/read", invalidContext).status()).isEqualTo(401);
      }
      assertThat(withContext(daemon, "/read", context).status()).isEqualTo(200);
    }
  }

  private Response callChain() throws Exception {
    return RawClient.once(
        daemons.get(0).edgeAddress(), request("GET", "/read/1", "", TestFleet.KEY));
  }

  private void startAll(StandInUpstream... upstreams) throws Exception {
    for (int i = 0; i < upstreams.length; i++) {
      TrafficDaemon daemon = fleet.start("d" + i);
      daemons.add(daemon);
      TestFleet.announce(daemon, "svc", upstreams[i], 100);
    }
    TestFleet.await(
        () ->
            fleet.metrics.values().stream()
                .allMatch(metrics -> metrics.counter("link.ready").getCount() == 2));
  }

  /**
   * Scripts an upstream that makes the next call of the chain and closes its connection if that
   * call fails.
   */
  private StandInUpstream.Script chainStep(int daemon, boolean lastFails) {
    return (head, body, socket) -> {
      String path = head.substring(4, head.indexOf(" HTTP"));
      int depth = Integer.parseInt(path.substring(path.lastIndexOf('/') + 1));
      calls.incrementAndGet();
      callsByPath.merge(path, 1, Integer::sum);
      if (depth == DEPTH) {
        if (lastFails) {
          socket.close();
        } else {
          StandInUpstream.respond(socket, 200, "end");
        }
        return;
      }
      String context = StandInUpstream.headerOf(head, "Cornelspoke-Context");
      Response nested = withContext(daemons.get(daemon), "/read/" + (depth + 1), context);
      if (nested.status() == 200) {
        StandInUpstream.respond(socket, 200, nested.body());
      } else {
        socket.close();
      }
    };
  }

  private static Response withContext(TrafficDaemon daemon, String target, String context)
      throws java.io.IOException {
    return RawClient.once(
        daemon.edgeAddress(), request("GET", target, "", "Cornelspoke-Context: " + context));
  }
}
