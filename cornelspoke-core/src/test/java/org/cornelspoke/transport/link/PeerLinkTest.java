package org.cornelspoke.transport.link;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.cornelspoke.coordination.admission.GateLoad;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.model.Verdict;
import org.cornelspoke.protocol.call.CallCodec;
import org.cornelspoke.protocol.call.CallHead;
import org.cornelspoke.protocol.call.CallMessage;
import org.cornelspoke.protocol.call.CallOutcome;
import org.cornelspoke.protocol.call.CallResult;
import org.cornelspoke.protocol.call.Headers;
import org.cornelspoke.protocol.call.MessageBody;
import org.cornelspoke.transport.http.HeldMemory;
import org.cornelspoke.transport.loop.InputBacklog;
import org.junit.jupiter.api.Test;

class PeerLinkTest {

  private static final long SEED = 3;
  private static final int MAX_BODY_BYTES = 48 << 20;
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final Endpoint EPHEMERAL_ENDPOINT = new Endpoint("127.0.0.1", 0);

  private final Eventloop reactor = Eventloop.create();
  private final MetricRegistry metrics = new MetricRegistry();
  private final CallCodec codec = new CallCodec();
  private final List<IncomingCall> incoming = new ArrayList<>();
  private final List<String> ended = new ArrayList<>();

  /** Guards against late or out-of-order replies that are matched to the wrong call. */
  @Test
  void lateAndReorderedRepliesReachOnlyTheirCall() throws Exception {
    LinkServer server = server();
    PeerLink link = link(server.boundAddress().getPort());
    runUntil(link::isReady);
    List<LinkCall> calls = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      int number = i;
      calls.add(
          link.call(
              head("/" + i),
              MessageBody.of(bytes(i)),
              e -> ended.add(number + statusAndFirstByte(e))));
    }
    runUntil(() -> incoming.size() == 100);
    for (int i = 0; i < 100; i += 3) {
      calls.get(i).cancel();
    }
    Random random = new Random(SEED);
    java.util.Collections.shuffle(incoming, random);
    for (IncomingCall call : incoming) {
      assertThat(call.head().requestTarget())
          .isEqualTo("/" + (call.body().toByteArray()[0] & 0xff));
      call.respond(response(call.body().toByteArray()));
    }
    runUntil(() -> ended.size() == 66 && link.callsInFlight() == 0);
    for (int i = 0; i < 100; i++) {
      assertThat(ended.contains(i + " 200 " + i)).isEqualTo(i % 3 != 0);
    }
    assertThat(metrics.counter("link.late-replies").getCount()).isEqualTo(34);
    server.close();
    link.abort();
  }

  /**
   * Guards against a broken link that reports "not run" for a call that the peer has received, or
   * an unknown outcome for a call that it has not received.
   */
  @Test
  void brokenLinkReportsWhichCallsMayHaveRun() throws Exception {
    LinkServer server = server();
    PeerLink link = link(server.boundAddress().getPort());
    runUntil(link::isReady);
    byte[] large = new byte[32 << 20];

    link.call(
        head("/small"), MessageBody.of(bytes(1)), e -> ended.add(e.result().verdict().name()));

    link.call(head("/large"), MessageBody.of(large), e -> ended.add(e.result().verdict().name()));
    runUntil(() -> incoming.size() == 1);
    server.close();
    runUntil(() -> ended.size() == 2);
    assertThat(ended).containsExactly("MAY_HAVE_RUN", "NOT_RUN").inOrder();
    assertThat(link.isReady()).isFalse();
    link.abort();
  }

  /** Guards against a large body that delays small calls on the same link. */
  @Test
  void smallCallOvertakesLargeBody() throws Exception {
    LinkServer server = server();
    PeerLink link = link(server.boundAddress().getPort());
    runUntil(link::isReady);
    byte[] large = new byte[16 << 20];
    new Random(SEED).nextBytes(large);
    link.call(head("/large"), MessageBody.of(large), e -> ended.add("large"));
    link.call(head("/small"), MessageBody.of(bytes(1)), e -> ended.add("small"));
    runUntil(() -> incoming.size() == 2);
    assertThat(incoming.get(0).head().requestTarget()).isEqualTo("/small");
    assertThat(incoming.get(1).body().toByteArray()).isEqualTo(large);
    incoming.get(1).respond(response(large));
    incoming.get(0).respond(response(bytes(1)));
    runUntil(() -> ended.size() == 2);
    assertThat(ended).containsExactly("small", "large").inOrder();
    server.close();
    link.abort();
  }

  /** Guards against new calls to a peer that is stopping and against calls aborted by the stop. */
  @Test
  void goAwayCompletesCallsAndReconnects() throws Exception {
    LinkServer server = server();
    int port = server.boundAddress().getPort();
    PeerLink link = link(port);
    runUntil(link::isReady);
    link.call(head("/"), MessageBody.of(bytes(1)), e -> ended.add(statusAndFirstByte(e)));
    runUntil(() -> incoming.size() == 1);
    server.goAway();
    runUntil(link::isGoingAway);
    assertThat(link.isReady()).isFalse();
    incoming.get(0).respond(response(bytes(1)));
    runUntil(() -> server.linkCount() == 0);
    assertThat(ended).containsExactly(" 200 1");
    LinkServer successor = server(new Endpoint("127.0.0.1", port));
    runUntil(link::isReady);
    successor.close();
    link.abort();
  }

  /** Guards against a cancelled call or a broken link that does not stop the work at the peer. */
  @Test
  void cancelAndDisconnectCancelCallsAtPeer() throws Exception {
    LinkServer server = server();
    PeerLink link = link(server.boundAddress().getPort());
    runUntil(link::isReady);
    LinkCall first =
        link.call(head("/1"), MessageBody.of(bytes(1)), e -> ended.add(statusAndFirstByte(e)));
    link.call(head("/2"), MessageBody.of(bytes(2)), e -> ended.add(e.result().verdict().name()));
    runUntil(() -> incoming.size() == 2);
    List<String> cancelled = new ArrayList<>();
    incoming.forEach(call -> call.onCancelled(() -> cancelled.add(call.head().requestTarget())));
    first.cancel();
    runUntil(() -> !cancelled.isEmpty());
    assertThat(cancelled).containsExactly("/1");
    link.abort();
    runUntil(() -> cancelled.size() == 2);
    assertThat(ended).containsExactly("MAY_HAVE_RUN");
    server.close();
  }

  /** Guards against calls that wait forever when a network partition silently drops packets. */
  @Test
  void silentPeerIsDisconnected() throws Exception {
    LinkServer server = server();
    PeerLink link = link(server.boundAddress().getPort());
    runUntil(link::isReady);
    link.call(head("/"), MessageBody.of(bytes(1)), e -> ended.add(e.result().verdict().name()));
    link.onTick(System.nanoTime() + Duration.ofSeconds(2).toNanos());
    assertThat(ended).isEmpty();
    link.onTick(System.nanoTime() + Duration.ofSeconds(4).toNanos());
    assertThat(ended).containsExactly("MAY_HAVE_RUN");
    runUntil(link::isReady);
    server.close();
    link.abort();
  }

  /** Guards against connections that never send a message and stay open forever. */
  @Test
  void silentCallerIsDisconnected() throws Exception {
    LinkServer server = server();
    List<Exception> closed = new ArrayList<>();
    connect(server.boundAddress(), List.of(), closed);
    runUntil(() -> server.linkCount() == 1);
    server.closeSilentLinks(System.nanoTime() + Duration.ofSeconds(9).toNanos());
    assertThat(server.linkCount()).isEqualTo(1);
    server.closeSilentLinks(System.nanoTime() + Duration.ofSeconds(11).toNanos());
    assertThat(server.linkCount()).isEqualTo(0);
    runUntil(() -> !closed.isEmpty());
    server.close();
  }

  /** Guards against one oversized call that closes the link and so fails all other calls. */
  @Test
  void oversizedBodyIsRefusedWithoutClosingLink() throws Exception {
    LinkServer server = server();
    PeerLink link = link(server.boundAddress().getPort());
    runUntil(link::isReady);
    byte[] tooLarge = new byte[MAX_BODY_BYTES + 1];
    link.call(head("/"), MessageBody.of(tooLarge), e -> ended.add(e.result().toString()));
    link.call(head("/"), MessageBody.of(bytes(1)), e -> ended.add(statusAndFirstByte(e)));
    runUntil(() -> incoming.size() == 1);
    incoming.get(0).respond(response(bytes(1)));
    runUntil(() -> ended.size() == 2);
    assertThat(ended).containsExactly("Refused[reason=TOO_LARGE, retryAfterMillis=0]", " 200 1");
    server.close();
    link.abort();
  }

  /** Guards against calls whose bodies use up the memory of the daemon beside the upstream. */
  @Test
  void bodyWithoutRoomIsRefusedAndRoomIsFreeAfterTheResponse() throws Exception {
    HeldMemory memory = HeldMemory.ofBytes(3 << 20, new MetricRegistry());
    LinkServer server = server();
    server.withHeldMemory(memory);
    PeerLink link = link(server.boundAddress().getPort());
    runUntil(link::isReady);
    byte[] large = new byte[2 << 20];
    link.call(head("/"), MessageBody.of(large), e -> ended.add(statusAndFirstByte(e)));
    runUntil(() -> incoming.size() == 1);
    link.call(head("/"), MessageBody.of(large), e -> ended.add(e.result().toString()));
    runUntil(() -> ended.size() == 1);
    assertThat(ended).containsExactly("Refused[reason=OVERLOAD, retryAfterMillis=1000]");
    incoming.get(0).respond(response(bytes(1)));
    runUntil(() -> ended.size() == 2);
    assertThat(memory.tryReserve(3 << 20)).isTrue();
    server.close();
    link.abort();
  }

  /** Guards against a link that stays open after the peer violates the protocol. */
  @Test
  void protocolViolationsCloseLink() throws Exception {
    LinkServer server = server();
    CallMessage hello = CallMessage.Hello.of("x");
    CallMessage call = new CallMessage.Call(5, head("/"), 1, bytes(1));
    List<List<CallMessage>> violations =
        List.of(
            List.of(call),
            List.of(new CallMessage.Hello("other", 1, "x")),
            List.of(new CallMessage.Hello(CallMessage.Hello.MAGIC, 99, "x")),
            List.of(hello, hello),
            List.of(hello, call, call),
            List.of(hello, new CallMessage.Call(5, head("/"), 1, bytes(1, 2))),
            List.of(hello, new CallMessage.Call(5, head("/"), 2 << 26, bytes(1))),
            List.of(
                hello, new CallMessage.Call(5, head("/"), 3, bytes(1)), new CallMessage.CallEnd(5)),
            List.of(hello, new CallMessage.Call(5, head("/a\r\nX: 1"), 1, bytes(1))),
            List.of(hello, new CallMessage.ReplyEnd(5)),
            List.of(
                hello,
                new CallMessage.Refusal(
                    5, RefusalReason.RATE, Verdict.NOT_RUN, 0, 0, 0, GateLoad.IDLE)));
    for (List<CallMessage> messages : violations) {
      List<Exception> closed = new ArrayList<>();
      connect(server.boundAddress(), messages, closed);
      runUntil(() -> !closed.isEmpty());
    }
    assertThat(metrics.meter("link.malformed").getCount()).isEqualTo(violations.size());
    server.close();
  }

  private void connect(
      InetSocketAddress address, List<CallMessage> messages, List<Exception> closed) {
    reactor.post(
        () ->
            FrameConnection.connect(reactor, address, TIMEOUT)
                .whenResult(
                    connection -> {
                      connection.start(
                          new FrameListener() {
                            @Override
                            public void onFrame(byte[] frame) {}

                            @Override
                            public void onClosed(Exception cause) {
                              closed.add(cause);
                            }
                          });
                      messages.forEach(message -> connection.send(codec.encode(message)));
                    }));
  }

  private LinkServer server() throws IOException {
    return server(EPHEMERAL_ENDPOINT);
  }

  private LinkServer server(Endpoint endpoint) throws IOException {
    LinkServer server =
        new LinkServer(
            reactor,
            endpoint.toSocketAddress(),
            "server",
            codec,
            MAX_BODY_BYTES,
            incoming::add,
            metrics,
            InputBacklog.immediate());
    IOException[] failure = new IOException[1];
    reactor.post(
        () -> {
          try {
            server.start();
          } catch (IOException e) {
            failure[0] = e;
          }
        });
    runUntil(() -> true);
    if (failure[0] != null) {
      throw failure[0];
    }
    return server;
  }

  private PeerLink link(int port) {
    PeerLink link =
        new PeerLink(
            reactor, new Endpoint("127.0.0.1", port), "client", codec, new Random(SEED), metrics);
    reactor.post(link::start);
    return link;
  }

  /** Runs the event loop in the current thread until the condition is true. */
  private void runUntil(java.util.function.BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
    Runnable[] poll = new Runnable[1];
    poll[0] =
        () -> {
          if (condition.getAsBoolean() || System.nanoTime() > deadlineNanos) {
            reactor.breakEventloop();
          } else {
            reactor.delay(1, poll[0]);
          }
        };
    reactor.delay(1, poll[0]);
    reactor.run();
    assertWithMessage("ended " + ended).that(condition.getAsBoolean()).isTrue();
  }

  private static CallHead head(String target) {
    return new CallHead(
        new ServiceName("svc"),
        "GET",
        target,
        new AccountId("farm"),
        1,
        TrafficClass.BULK,
        Revision.NONE,
        1_000,
        0,
        Headers.EMPTY);
  }

  private static CallOutcome response(byte[] body) {
    return new CallOutcome(new CallResult.Responded(200, Headers.EMPTY, body), 0, 0, GateLoad.IDLE);
  }

  private static String statusAndFirstByte(CallOutcome ending) {
    CallResult.Responded response = (CallResult.Responded) ending.result();
    return " " + response.status() + " " + (response.body()[0] & 0xff);
  }

  private static byte[] bytes(int... values) {
    byte[] bytes = new byte[values.length];
    for (int i = 0; i < values.length; i++) {
      bytes[i] = (byte) values[i];
    }
    return bytes;
  }
}
