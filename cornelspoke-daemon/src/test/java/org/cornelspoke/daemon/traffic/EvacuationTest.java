package org.cornelspoke.daemon.traffic;

import static com.google.common.truth.Truth.assertThat;
import static org.cornelspoke.daemon.traffic.RawClient.request;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.coordination.admission.DefaultUpstreamGate;
import org.cornelspoke.coordination.admission.FixedLimit;
import org.cornelspoke.daemon.traffic.RawClient.Response;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.state.config.DataCentreEvacuation;
import org.cornelspoke.state.view.FleetView;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests to upstreams in an evacuated data centre, and against lost ones. */
class EvacuationTest {

  private static final DataCentreId THERE = new DataCentreId("there");
  private static final long EFFECT_MILLIS = 5_000;

  private final TestFleet fleet = new TestFleet();

  @BeforeEach
  void prepare() {
    fleet.setGates(
        (service, slots, now) ->
            new DefaultUpstreamGate(TestFleet.preset("ordinary", 2, false), new FixedLimit(slots)));
    fleet.place("there-1", THERE.value());
    fleet.place("there-2", THERE.value());
    fleet.place("there-3", THERE.value());
    fleet.place("there-4", THERE.value());
  }

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  /** Clients of the data centre are served elsewhere, and its upstreams serve again afterwards. */
  @Test
  void daemonThereServesItsClientsElsewhereUntilTheRestoration() throws Exception {
    try (StandInUpstream there = StandInUpstream.answering("there");
        StandInUpstream elsewhere = StandInUpstream.answering("elsewhere")) {
      TrafficDaemon edge = fleet.startWith("there-1", "svc", there);
      fleet.startWith("w", "svc", elsewhere);
      TestFleet.await(() -> bodyOf(edge).equals("there"));
      evacuate();
      awaitEffect("there-1");
      int received = there.requestHeads.size();
      TestFleet.await(() -> bodyOf(edge).equals("elsewhere"));
      long attempts = attemptsOf("there-1");
      for (int i = 0; i < 20; i++) {
        assertThat(bodyOf(edge)).isEqualTo("elsewhere");
      }
      // Nothing is sent to the evacuated target first, to be refused by its gate.
      assertThat(attemptsOf("there-1")).isEqualTo(attempts + 20);
      assertThat(there.requestHeads).hasSize(received);
      restore();
      TestFleet.await(() -> bodyOf(edge).equals("there"));
    }
  }

  /** The gate is what keeps out the requests of a daemon that is cut off with an older view. */
  @Test
  void requestsOfACutOffDaemonAreReroutedByTheGates() throws Exception {
    try (StandInUpstream there = StandInUpstream.answering("there");
        StandInUpstream elsewhere = StandInUpstream.answering("elsewhere")) {
      // Without retries, a request tries 3 targets; the first 4 ones lie there.
      fleet.replace(TestFleet.preset("ordinary", 0, false));
      for (String name : new String[] {"there-1", "there-2", "there-3", "there-4"}) {
        fleet.startWith(name, "svc", there);
      }
      fleet.startWith("w", "svc", elsewhere);
      TrafficDaemon edge = fleet.start("edge");
      TestFleet.await(() -> bodyOf(edge).equals("there"));
      fleet.freezeView("edge");
      evacuate();
      for (int i = 1; i <= 4; i++) {
        awaitEffect("there-" + i);
      }
      int received = there.requestHeads.size();

      for (int i = 0; i < 20; i++) {
        assertThat(bodyOf(edge)).isEqualTo("elsewhere");
      }

      assertThat(there.requestHeads).hasSize(received);
    }
  }

  @Test
  void runningRequestsCompleteAndQueuedOnesAreRefused() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    try (StandInUpstream there =
        new StandInUpstream(
            (head, body, socket) -> {
              release.await();
              StandInUpstream.respond(socket, 200, "done");
            })) {
      TrafficDaemon daemon = fleet.start("there-1");
      TestFleet.announce(daemon, "svc", there, 1);
      try (RawClient running = new RawClient(daemon.edgeAddress());
          RawClient queued = new RawClient(daemon.edgeAddress())) {
        running.send(request("GET", "/open", ""));
        TestFleet.await(() -> there.requestHeads.size() == 1);
        queued.send(request("GET", "/open", ""));
        evacuate();
        Response refused = queued.read();
        assertThat(refused.status()).isEqualTo(503);
        assertThat(refused.verdict()).isEqualTo("not-run");
        assertThat(refused.reason()).isEqualTo("no-target");
        release.countDown();
        assertThat(running.read().body()).isEqualTo("done");
        assertThat(there.requestHeads).hasSize(1);
      }
    }
  }

  /** An operator who empties a data centre must be able to rely on it, whatever else is left. */
  @Test
  void serviceWithoutTargetsElsewhereServesNothing() throws Exception {
    try (StandInUpstream there = StandInUpstream.answering("there")) {
      fleet.startWith("there-1", "svc", there);
      TrafficDaemon edge = fleet.start("edge");
      TestFleet.await(() -> bodyOf(edge).equals("there"));
      evacuate();
      awaitEffect("edge");
      awaitEffect("there-1");
      int received = there.requestHeads.size();

      Response refused = RawClient.once(edge.edgeAddress(), request("GET", "/open", ""));

      assertThat(refused.status()).isEqualTo(503);
      assertThat(refused.verdict()).isEqualTo("not-run");
      assertThat(refused.reason()).isEqualTo("no-target");
      assertThat(there.requestHeads).hasSize(received);
    }
  }

  /** Guards against a gate that opens because its daemon restarted or its upstream came back. */
  @Test
  void daemonStartedInAnEvacuatedDataCentreAdmitsNothing() throws Exception {
    try (StandInUpstream there = StandInUpstream.answering("there")) {
      TrafficDaemon daemon = fleet.startWith("there-1", "svc", there);
      TrafficDaemon edge = fleet.start("edge");
      TestFleet.await(() -> bodyOf(edge).equals("there"));
      int received = there.requestHeads.size();
      // The empty view is that of a daemon after a restart; the port of its links stays the same.
      fleet.freezeView("edge");
      fleet.setView("there-1", FleetView.EMPTY);
      evacuate();
      for (int i = 0; i < 5; i++) {
        assertThat(reasonOf(edge)).isEqualTo("no-target");
      }
      fleet.releaseView("there-1");
      awaitEffect("there-1");
      TestFleet.announce(daemon, "svc", there, 5);
      for (int i = 0; i < 5; i++) {
        assertThat(reasonOf(edge)).isEqualTo("no-target");
      }
      assertThat(there.requestHeads).hasSize(received);
      restore();
      TestFleet.await(() -> bodyOf(edge).equals("there"));
    }
  }

  private void evacuate() {
    fleet.replace(new DataCentreEvacuation(THERE, 1_000));
  }

  private void restore() {
    fleet.remove(DataCentreEvacuation.idOf(THERE));
  }

  /** Waits until the daemon must have applied its view; no longer than an order may take. */
  private void awaitEffect(String name) throws Exception {
    if (!name.startsWith("there")) {
      // Housekeeping applies a new view within 150 ms.
      Thread.sleep(300);
      return;
    }
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(EFFECT_MILLIS);
    while (fleet.metrics.get(name).counter("local.evacuated").getCount() != 1) {
      assertThat(System.nanoTime()).isLessThan(endNanos);
      Thread.sleep(5);
    }
  }

  private long attemptsOf(String name) {
    return fleet.metrics.get(name).counter("edge.attempts").getCount();
  }

  private static String bodyOf(TrafficDaemon edge) {
    return send(edge).body();
  }

  private static String reasonOf(TrafficDaemon edge) {
    String reason = send(edge).reason();
    return reason == null ? "" : reason;
  }

  private static Response send(TrafficDaemon edge) {
    try {
      return RawClient.once(edge.edgeAddress(), request("GET", "/open", ""));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
