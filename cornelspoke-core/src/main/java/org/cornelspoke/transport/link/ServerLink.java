package org.cornelspoke.transport.link;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelspoke.coordination.admission.GateLoad;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.protocol.call.CallCodec;
import org.cornelspoke.protocol.call.CallHead;
import org.cornelspoke.protocol.call.CallMessage;
import org.cornelspoke.protocol.call.CallMessage.Call;
import org.cornelspoke.protocol.call.CallMessage.CallChunk;
import org.cornelspoke.protocol.call.CallMessage.CallEnd;
import org.cornelspoke.protocol.call.CallMessage.Cancel;
import org.cornelspoke.protocol.call.CallMessage.GoAway;
import org.cornelspoke.protocol.call.CallMessage.Hello;
import org.cornelspoke.protocol.call.CallMessage.Ping;
import org.cornelspoke.protocol.call.CallMessage.Pong;
import org.cornelspoke.protocol.call.CallOutcome;
import org.cornelspoke.protocol.call.CallResult;
import org.cornelspoke.protocol.call.MessageBody;
import org.cornelspoke.protocol.call.ProtocolException;

/** The serving side of one link. Confined to the reactor thread. */
final class ServerLink implements FrameListener {

  private static final long OVERLOAD_RETRY_MILLIS = 1_000;

  private record IncompleteCall(
      CallHead head, BodyAssembler body, int bodyBytes, long arrivalNanos) {}

  private final LinkServer server;
  private final FrameConnection connection;
  private final CallCodec codec;
  private final BodySender bodySender;
  private final Map<Long, IncompleteCall> incompleteCalls = new HashMap<>();
  private final Map<Long, IncomingCall> calls = new HashMap<>();
  private final Map<Long, BodySender.OutgoingBody> replyBodies = new HashMap<>();
  private long lastReceivedNanos = System.nanoTime();
  private boolean handshakeCompleted;
  private long lastCorrelationId;

  ServerLink(LinkServer server, FrameConnection connection, CallCodec codec) {
    this.server = server;
    this.connection = connection;
    this.codec = codec;
    this.bodySender = new BodySender(connection, codec);
  }

  @Override
  public void onFrame(byte[] frame) {
    lastReceivedNanos = System.nanoTime();
    try {
      CallMessage message = codec.decode(frame);
      if (handshakeCompleted) {
        dispatch(message);
      } else {
        completeHandshake(message);
      }
    } catch (ProtocolException e) {
      server.onMalformed();
      connection.close();
    }
  }

  @Override
  public void onClosed(Exception cause) {
    server.onClosed(this);
    incompleteCalls.values().forEach(call -> release(call.bodyBytes()));
    incompleteCalls.clear();
    List<IncomingCall> interrupted = new ArrayList<>(calls.values());
    calls.clear();
    interrupted.forEach(IncomingCall::cancel);
  }

  void goAway() {
    if (handshakeCompleted) {
      connection.send(codec.encode(new GoAway()));
    }
  }

  long lastReceivedNanos() {
    return lastReceivedNanos;
  }

  /** Returns true if no call is in flight and all replies have been written to the socket. */
  boolean isIdle() {
    return calls.isEmpty() && bodySender.isEmpty() && connection.isFlushed();
  }

  void close() {
    connection.close();
  }

  void respond(long correlationId, CallOutcome ending) {
    calls.remove(correlationId);
    CallResult result = ending.result();
    if (result instanceof CallResult.Responded response) {
      MessageBody body = MessageBody.of(response.body());
      byte[] firstChunk = bodySender.firstChunk(body);
      connection.send(
          codec.encode(
              new CallMessage.Reply(
                  correlationId,
                  response.status(),
                  response.headers(),
                  ending.unusedAttempts(),
                  ending.downstreamCalls(),
                  ending.load(),
                  ending.metadata(),
                  body.sizeBytes(),
                  firstChunk)));
      BodySender.OutgoingBody replyBody =
          bodySender.sendRemaining(correlationId, body, firstChunk.length, false);
      if (!replyBody.isSent()) {
        replyBodies.put(correlationId, replyBody);
        replyBodies.values().removeIf(BodySender.OutgoingBody::isSent);
      }
    } else {
      connection.send(codec.encode(toRefusal(correlationId, ending)));
    }
  }

  private static CallMessage toRefusal(long correlationId, CallOutcome ending) {
    CallResult result = ending.result();
    boolean refused = result instanceof CallResult.Refused;
    return new CallMessage.Refusal(
        correlationId,
        refused ? ((CallResult.Refused) result).reason() : ((CallResult.Failed) result).reason(),
        result.verdict(),
        refused ? ((CallResult.Refused) result).retryAfterMillis() : 0,
        ending.unusedAttempts(),
        ending.downstreamCalls(),
        ending.load());
  }

  private void completeHandshake(CallMessage message) throws ProtocolException {
    if (!(message instanceof Hello hello)
        || !hello.magic().equals(Hello.MAGIC)
        || hello.version() != Hello.VERSION) {
      throw new ProtocolException("first message is not a Hello of this protocol version");
    }
    handshakeCompleted = true;
    connection.send(codec.encode(Hello.of(server.selfId())));
    server.onHandshakeCompleted(this);
  }

  private void dispatch(CallMessage message) throws ProtocolException {
    if (message instanceof Call call) {
      onCall(call);
    } else if (message instanceof CallChunk chunk) {
      IncompleteCall incomplete = incompleteCalls.get(chunk.correlationId());
      if (incomplete != null) {
        incomplete.body().add(chunk.chunk());
      }
    } else if (message instanceof CallEnd end) {
      onCallEnd(end);
    } else if (message instanceof Cancel cancel) {
      onCancel(cancel);
    } else if (message instanceof Ping ping) {
      connection.send(codec.encode(new Pong(ping.number())));
    } else if (!(message instanceof Pong || message instanceof GoAway)) {
      throw new ProtocolException("message type is not allowed from the calling side");
    }
  }

  private void onCall(Call call) throws ProtocolException {
    if (call.correlationId() <= lastCorrelationId) {
      throw new ProtocolException("correlation id does not increase");
    }
    lastCorrelationId = call.correlationId();
    if (call.bodyBytes() > server.maxBodyBytes()) {
      // Refuses only this call, because a peer may be configured with a different limit; its other
      // calls must not fail.
      refuse(call, new CallResult.Refused(RefusalReason.TOO_LARGE, 0));
      return;
    }
    BodyAssembler body = new BodyAssembler(call.bodyBytes(), call.chunk());
    if (!server.memory().tryReserve(call.bodyBytes())) {
      refuse(call, new CallResult.Refused(RefusalReason.OVERLOAD, OVERLOAD_RETRY_MILLIS));
      return;
    }
    long arrivalNanos = server.backlog().arrivalNanos();
    if (body.isComplete()) {
      serve(call.correlationId(), call.head(), body, arrivalNanos);
      return;
    }
    incompleteCalls.put(
        call.correlationId(),
        new IncompleteCall(call.head(), body, call.bodyBytes(), arrivalNanos));
  }

  private void refuse(Call call, CallResult.Refused refusal) {
    respond(
        call.correlationId(),
        new CallOutcome(refusal, call.head().extraAttempts(), 0, GateLoad.IDLE));
  }

  /** Returns memory that was reserved for a body. */
  void release(int bodyBytes) {
    server.memory().release(bodyBytes);
  }

  private void onCallEnd(CallEnd end) throws ProtocolException {
    IncompleteCall incomplete = incompleteCalls.remove(end.correlationId());
    if (incomplete == null) {
      return;
    }
    if (!incomplete.body().isComplete()) {
      release(incomplete.bodyBytes());
      throw new ProtocolException("call body is shorter than announced");
    }
    serve(end.correlationId(), incomplete.head(), incomplete.body(), incomplete.arrivalNanos());
  }

  private void onCancel(Cancel cancel) {
    IncompleteCall incomplete = incompleteCalls.remove(cancel.correlationId());
    if (incomplete != null) {
      release(incomplete.bodyBytes());
    }
    BodySender.OutgoingBody replyBody = replyBodies.remove(cancel.correlationId());
    if (replyBody != null) {
      replyBody.cancel();
    }
    IncomingCall call = calls.remove(cancel.correlationId());
    if (call != null) {
      call.cancel();
    }
  }

  private void serve(long correlationId, CallHead head, BodyAssembler body, long arrivalNanos) {
    IncomingCall call = new IncomingCall(this, correlationId, head, body.body(), arrivalNanos);
    calls.put(correlationId, call);
    server.backlog().submit(arrivalNanos, () -> handle(call));
  }

  private void handle(IncomingCall call) {
    if (call.isEnded()) {
      return;
    }
    try {
      server.serve(call);
    } catch (RuntimeException e) {
      connection.close();
      throw e;
    }
  }
}
