package org.cornelspoke.daemon.traffic;

import static com.google.common.truth.Truth.assertThat;
import static org.cornelspoke.daemon.traffic.RawClient.request;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cornelspoke.coordination.admission.ChainAdmissionSettings;
import org.cornelspoke.coordination.admission.GateRequest;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.protocol.call.Headers;
import org.cornelspoke.protocol.call.RootOrigin;
import org.cornelspoke.transport.http.HttpResponse;
import org.cornelspoke.transport.http.ResponsePolicy;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against nested calls that a gate can't attribute to the client request behind them. */
class ChainRootTest {

  private static final String ID = "X-Request-Id";

  private final TestFleet fleet = new TestFleet();

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  /** Guards against a root that is lost between the calling daemon and that of the target. */
  @Test
  void signedContextTellsTheRoot() throws Exception {
    assertThat(gateRequestOfNestedCall(true, "/deep/1", "Cornelspoke-Context"))
        .isEqualTo(nestedOf("farm", TrafficClass.INTERACTIVE));
  }

  /** Guards against calls that count for nobody although their id names the running request. */
  @Test
  void requestIdTellsTheRoot() throws Exception {
    fleet.dialect = new IdDialect();
    assertThat(gateRequestOfNestedCall(true, "/open/1", ID))
        .isEqualTo(nestedOf("farm", TrafficClass.INTERACTIVE));
  }

  /** Guards against a change of behaviour while chain admission is off. */
  @Test
  void rootIsIgnoredIfChainAdmissionIsOff() throws Exception {
    fleet.dialect = new IdDialect();
    assertThat(gateRequestOfNestedCall(false, "/open/1", ID)).isEqualTo(openRequest());
  }

  /** Guards against a call that is attributed to a request which isn't running. */
  @Test
  void callOfAnUnknownParentHasNoRoot() throws Exception {
    fleet.dialect = new IdDialect();
    fleet.chainAdmission = enabled();
    try (StandInUpstream upstream = StandInUpstream.answering("ok")) {
      TrafficDaemon daemon = fleet.startWith("a", "svc", upstream);
      RawClient.once(daemon.edgeAddress(), request("GET", "/open/1", "", ID + ": other.1"));
    }
    assertThat(withoutDeadline(fleet.gateRequests.get(0))).isEqualTo(openRequest());
  }

  /** Guards against a chain whose replies don't report the fraction that has capacity. */
  @Test
  void repliesReportCapacityThroughTheChain() throws Exception {
    assertThat(gateRequestOfNestedCall(true, "/deep/1", "Cornelspoke-Context")).isNotNull();
    // The gauges exist at the daemon of each upstream once chain admission is on.
    assertThat(fleet.metrics.get("b").getGauges().keySet())
        .containsAtLeast("chain.room.deep.interactive", "chain.slot-time-share.deep.interactive");
    assertThat(fleet.metrics.get("a").getCounters().keySet())
        .contains("chain.refused-at-entry.svc.interactive");
  }

  /** Guards against chains that are started although the service below them is full. */
  @Test
  void fullServiceBelowHasRootRequestsRefusedAtEntry() throws Exception {
    fleet.chainAdmission = enabled();
    try (StandInUpstream upstream = StandInUpstream.answering("x");
        StandInUpstream deep =
            new StandInUpstream(
                (head, body, socket) -> {
                  Thread.sleep(30);
                  StandInUpstream.respond(socket, 200, "deep");
                })) {
      TrafficDaemon daemon = fleet.start("a");
      TestFleet.announce(daemon, "svc", upstream, 100);
      TrafficDaemon deepDaemon = fleet.start("b");
      TestFleet.announce(deepDaemon, "deep", deep, 1);
      upstream.script =
          (head, body, socket) -> {
            String context = "Cornelspoke-Context: " + contextOf(head);
            RawClient.Response nested =
                RawClient.once(daemon.edgeAddress(), request("GET", "/deep/1", "", context));
            StandInUpstream.respond(socket, nested.status() == 200 ? 200 : 500, nested.body());
          };
      List<RawClient.Response> refused = new CopyOnWriteArrayList<>();
      AtomicBoolean stopped = new AtomicBoolean();
      for (int i = 0; i < 16; i++) {
        StandInUpstream.daemonThread(() -> sendUntil(stopped, daemon, refused));
      }
      TestFleet.await(() -> !refused.isEmpty());
      stopped.set(true);
      assertThat(refused.get(0).status()).isEqualTo(503);
      assertThat(refused.get(0).verdict()).isEqualTo("not-run");
      assertThat(refused.get(0).header("Retry-After")).isNotNull();
      String counter = "chain.refused-at-entry.svc.interactive";
      assertThat(fleet.metrics.get("a").counter(counter).getCount()).isAtLeast(1);
    }
  }

  private static void sendUntil(
      AtomicBoolean stopped, TrafficDaemon daemon, List<RawClient.Response> refused) {
    while (!stopped.get()) {
      try {
        RawClient.Response response =
            RawClient.once(daemon.edgeAddress(), request("GET", "/read/1", "", TestFleet.KEY));
        if ("downstream".equals(response.reason())) {
          refused.add(response);
        }
      } catch (IOException e) {
        stopped.set(true);
      }
    }
  }

  private static String contextOf(String head) {
    return StandInUpstream.headerOf(head, "Cornelspoke-Context");
  }

  /** Guards against two callers that choose the same request id and are taken for each other. */
  @Test
  void requestsThatShareAnIdHaveNoKnownRoot() {
    NestedCallStatistics statistics = new NestedCallStatistics();
    Optional<RootOrigin> first = origin("a");
    statistics.onStarted("id", TrafficClass.BULK, first, Optional.empty());
    assertThat(statistics.rootOf("id")).isEqualTo(first);
    statistics.onStarted("id", TrafficClass.BULK, origin("b"), Optional.empty());
    assertThat(statistics.rootOf("id")).isEqualTo(Optional.empty());
  }

  /** Guards against memory that grows with requests that never end. */
  @Test
  void runningRequestsKeptAreBounded() {
    NestedCallStatistics statistics = new NestedCallStatistics();
    for (int i = 0; i < 10_001; i++) {
      statistics.onStarted("id" + i, TrafficClass.BULK, origin("a"), Optional.empty());
    }
    assertThat(statistics.rootOf("id9999")).isEqualTo(origin("a"));
    assertThat(statistics.rootOf("id10000")).isEqualTo(Optional.empty());
  }

  /** Runs a root request at one daemon that makes a call to the other, and returns the latter. */
  private GateRequest gateRequestOfNestedCall(boolean chains, String path, String header)
      throws Exception {
    fleet.chainAdmission = chains ? enabled() : ChainAdmissionSettings.OFF;
    fleet.replace(TestFleet.route("/open", "deep", TrafficClass.INTERACTIVE, true, true));
    try (StandInUpstream upstream = StandInUpstream.answering("x");
        StandInUpstream deep = StandInUpstream.answering("deep")) {
      TrafficDaemon daemon = fleet.startWith("a", "svc", upstream);
      TrafficDaemon deepDaemon = fleet.startWith("b", "deep", deep);
      upstream.script =
          (head, body, socket) -> {
            String value = StandInUpstream.headerOf(head, header);
            String sent = header.equals(ID) ? value + ".1" : value;
            RawClient.Response nested =
                RawClient.once(
                    daemon.edgeAddress(), request("GET", path, "", header + ": " + sent));
            StandInUpstream.respond(socket, nested.status(), nested.body());
          };
      assertThat(deepDaemon.linkAddress().getPort()).isGreaterThan(0);
      fleet.awaitRoute(daemon, "/open/0");
      fleet.gateRequests.clear();
      RawClient.Response response =
          RawClient.once(
              daemon.edgeAddress(), request("GET", "/read/1", "", TestFleet.KEY, ID + ": r1"));
      assertThat(response.body()).isEqualTo("deep");
    }
    assertThat(fleet.gateRequests).hasSize(2);
    return withoutDeadline(fleet.gateRequests.get(1));
  }

  private static ChainAdmissionSettings enabled() {
    return new ChainAdmissionSettings(true, 0.9);
  }

  private static Optional<RootOrigin> origin(String account) {
    return Optional.of(new RootOrigin(new AccountId(account), TrafficClass.BULK));
  }

  private static GateRequest nestedOf(String account, TrafficClass trafficClass) {
    return new GateRequest(new AccountId(account), 1, trafficClass, 0, true);
  }

  private static GateRequest openRequest() {
    return new GateRequest(EdgeHandler.OPEN_ACCOUNT, 1, TrafficClass.CRITICAL, 0, false);
  }

  private static GateRequest withoutDeadline(GateRequest request) {
    return new GateRequest(
        request.account(), request.weight(), request.trafficClass(), 0, request.begun());
  }

  /** Request ids in a header, of which calls append a suffix after a dot. */
  private static final class IdDialect implements HttpDialect {

    private final DefaultDialect defaults = new DefaultDialect();

    @Override
    public CallerHeaders read(Headers headers) {
      CallerHeaders read = defaults.read(headers);
      return new CallerHeaders(
          read.clientKey(), null, null, read.remainingMillis(), headers.get("x-request-id"));
    }

    @Override
    public boolean isReserved(Headers headers, int line) {
      return false;
    }

    @Override
    public void addOriginHeaders(Headers.Builder headers, Optional<AccountId> account) {
      // No origin headers in this dialect.
    }

    @Override
    public void addAttemptHeaders(Headers.Builder headers, long remainingMillis, String instance) {
      defaults.addAttemptHeaders(headers, remainingMillis, instance);
    }

    @Override
    public Optional<String> requestId(Headers headers) {
      return Optional.ofNullable(headers.get("x-request-id"));
    }

    @Override
    public Optional<String> parentRequestId(String requestId) {
      int lastDot = requestId.lastIndexOf('.');
      return lastDot < 0 ? Optional.empty() : Optional.of(requestId.substring(0, lastDot));
    }

    @Override
    public HttpResponse toHttpResponse(DaemonResponse answer) {
      return defaults.toHttpResponse(answer);
    }

    @Override
    public ResponsePolicy answerPolicy() {
      return defaults.answerPolicy();
    }
  }
}
