package org.cornelspoke.daemon.traffic;

import static com.google.common.truth.Truth.assertThat;
import static org.cornelspoke.daemon.traffic.RawClient.request;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.daemon.traffic.RawClient.Response;
import org.cornelspoke.model.TrafficClass;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class SteppedClockTest {

  private static final int TIMEOUT_MILLIS = 500;
  private static final long STEP_MILLIS = TimeUnit.HOURS.toMillis(1);

  private final TestFleet fleet = new TestFleet();
  private final CountDownLatch release = new CountDownLatch(1);
  private StandInUpstream silentUpstream;

  @BeforeEach
  void start() throws Exception {
    silentUpstream = new StandInUpstream((head, body, socket) -> release.await());
    fleet.replace(
        TestFleet.route("/read", "svc", TrafficClass.INTERACTIVE, false, true, TIMEOUT_MILLIS));
  }

  @AfterEach
  void stop() throws Exception {
    release.countDown();
    silentUpstream.close();
    fleet.clockStepMillis.set(0);
    fleet.close();
  }

  @Test
  void requestsAreNotHeldPastTheirTimeoutAfterTheTimeOfDayHasSteppedBack() throws Exception {
    TrafficDaemon daemon = fleet.startWith("a", "svc", silentUpstream);
    assertThat(callWithStep(daemon, -STEP_MILLIS).status()).isEqualTo(504);
  }

  @Test
  void requestsOverALinkAreNotHeldPastTheirTimeoutAfterTheTimeOfDayHasSteppedBack()
      throws Exception {
    TrafficDaemon edge = fleet.start("edge");
    fleet.startWith("a", "svc", silentUpstream);
    TestFleet.await(
        () -> fleet.metrics.get("edge").counter("edge.attempts").getCount() > 0 || tryCall(edge));
    assertThat(callWithStep(edge, -STEP_MILLIS).status()).isEqualTo(504);
  }

  @Test
  void registrationsAreKeptAfterTheTimeOfDayHasSteppedForward() throws Exception {
    try (StandInUpstream upstream = StandInUpstream.answering("ok")) {
      TrafficDaemon daemon = fleet.startWith("a", "svc", upstream);
      fleet.clockStepMillis.set(STEP_MILLIS);
      long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
      while (System.nanoTime() < endNanos) {
        Response response =
            RawClient.once(daemon.edgeAddress(), request("GET", "/read", "", TestFleet.KEY));
        assertThat(response.status()).isEqualTo(200);
      }
    }
  }

  private Response callWithStep(TrafficDaemon edge, long stepMillis) throws Exception {
    int earlierRequests = silentUpstream.requestHeads.size();
    try (RawClient client = new RawClient(edge.edgeAddress())) {
      client.send(request("GET", "/read", "", TestFleet.KEY));
      TestFleet.await(() -> silentUpstream.requestHeads.size() > earlierRequests);
      fleet.clockStepMillis.set(stepMillis);
      return client.read();
    }
  }

  private static boolean tryCall(TrafficDaemon edge) {
    try {
      return RawClient.once(edge.edgeAddress(), request("GET", "/read", "", TestFleet.KEY)).status()
          == 504;
    } catch (java.io.IOException e) {
      return false;
    }
  }
}
