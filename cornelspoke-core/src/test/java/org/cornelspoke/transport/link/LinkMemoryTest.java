package org.cornelspoke.transport.link;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.cornelspoke.coordination.admission.GateLoad;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.protocol.call.CallCodec;
import org.cornelspoke.protocol.call.CallHead;
import org.cornelspoke.protocol.call.CallMessage;
import org.cornelspoke.protocol.call.CallOutcome;
import org.cornelspoke.protocol.call.CallResult;
import org.cornelspoke.protocol.call.Headers;
import org.cornelspoke.transport.http.HeldMemory;
import org.cornelspoke.transport.loop.InputBacklog;
import org.junit.jupiter.api.Test;

/** Guards against memory of calls that is never returned to the account of the daemon. */
class LinkMemoryTest {

  private static final int BODY_BYTES = 600;
  private static final int MEMORY_BYTES = 1_000;
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final Eventloop reactor = Eventloop.create();
  private final CallCodec codec = new CallCodec();
  private final HeldMemory memory = HeldMemory.ofBytes(MEMORY_BYTES, new MetricRegistry());
  private int servedCalls;
  private int receivedFrames;
  private boolean clientClosed;

  @Test
  void servedCall() {
    exchange(List.of(call(BODY_BYTES)), () -> servedCalls == 1);
  }

  @Test
  void callLongerThanAnnounced() {
    exchange(List.of(call(BODY_BYTES + 1)), () -> clientClosed);
  }

  @Test
  void callShorterThanAnnounced() {
    exchange(List.of(call(1), new CallMessage.CallEnd(1)), () -> clientClosed);
  }

  @Test
  void chunkBeyondTheAnnouncedEnd() {
    exchange(
        List.of(call(1), new CallMessage.CallChunk(1, new byte[BODY_BYTES])), () -> clientClosed);
  }

  @Test
  void cancelledCall() {
    exchange(
        List.of(call(1), new CallMessage.Cancel(1), new CallMessage.Ping(1)),
        () -> receivedFrames == 2);
  }

  @Test
  void callWhoseLinkIsLost() {
    exchange(List.of(call(1), new CallMessage.Call(1, head(), 0, new byte[0])), () -> clientClosed);
  }

  /** Sends messages, waits for the condition, and checks that the account is empty then. */
  private void exchange(List<CallMessage> messages, BooleanSupplier condition) {
    LinkServer server =
        new LinkServer(
                reactor,
                new Endpoint("127.0.0.1", 0).toSocketAddress(),
                "server",
                codec,
                MEMORY_BYTES,
                this::serve,
                new MetricRegistry(),
                InputBacklog.immediate())
            .withHeldMemory(memory);
    reactor.post(
        () -> {
          try {
            server.start();
          } catch (IOException e) {
            throw new AssertionError(e);
          }
          FrameConnection.connect(reactor, server.boundAddress(), TIMEOUT)
              .whenResult(connection -> send(connection, messages));
        });
    runUntil(() -> condition.getAsBoolean() && isFree());
    assertThat(isFree()).isTrue();
    server.close();
  }

  private void send(FrameConnection connection, List<CallMessage> messages) {
    connection.send(codec.encode(CallMessage.Hello.of("client")));
    messages.forEach(message -> connection.send(codec.encode(message)));
    connection.start(
        new FrameListener() {
          @Override
          public void onFrame(byte[] frame) {
            receivedFrames++;
          }

          @Override
          public void onClosed(Exception cause) {
            clientClosed = true;
          }
        });
  }

  private void serve(IncomingCall call) {
    servedCalls++;
    call.respond(
        new CallOutcome(
            new CallResult.Responded(200, Headers.EMPTY, new byte[0]), 0, 0, GateLoad.IDLE));
  }

  private boolean isFree() {
    boolean free = memory.tryReserve(MEMORY_BYTES);
    if (free) {
      memory.release(MEMORY_BYTES);
    }
    return free;
  }

  private void runUntil(BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
    Runnable[] poll = new Runnable[1];
    poll[0] =
        () -> {
          if (condition.getAsBoolean() || System.nanoTime() - deadlineNanos > 0) {
            reactor.breakEventloop();
          } else {
            reactor.delay(1, poll[0]);
          }
        };
    reactor.delay(1, poll[0]);
    reactor.run();
    assertThat(condition.getAsBoolean()).isTrue();
  }

  private static CallMessage call(int chunkBytes) {
    return new CallMessage.Call(1, head(), BODY_BYTES, new byte[chunkBytes]);
  }

  private static CallHead head() {
    return new CallHead(
        new ServiceName("svc"),
        "POST",
        "/",
        new AccountId("farm"),
        1,
        TrafficClass.BULK,
        Revision.NONE,
        1_000,
        0,
        Headers.EMPTY);
  }
}
