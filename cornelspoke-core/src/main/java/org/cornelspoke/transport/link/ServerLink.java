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
import org.cornelspoke.protocol.call.ProtocolException;

/** The serving side of one link. */
final class ServerLink implements FrameListener {

  /** Bytes of incomplete bodies that one peer may make this side keep. */
  private static final long MAX_PARTIAL_BYTES = 256L << 20;

  private record PartialCall(CallHead head, BodyAssembler body, int bodyBytes) {}

  private final LinkServer server;
  private final FrameConnection connection;
  private final CallCodec codec;
  private final BodySender bodySender;
  private final Map<Long, PartialCall> partialCalls = new HashMap<>();
  private final Map<Long, IncomingCall> calls = new HashMap<>();
  private final Map<Long, BodySender.Body> replyBodies = new HashMap<>();
  private long lastReceivedNanos = System.nanoTime();
  private boolean greeted;
  private long lastId;
  private long partialBytes;

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
      if (greeted) {
        dispatch(message);
      } else {
        greet(message);
      }
    } catch (ProtocolException e) {
      server.onMalformed();
      connection.close();
    }
  }

  @Override
  public void onClosed(Exception cause) {
    server.onClosed(this);
    partialCalls.clear();
    List<IncomingCall> broken = new ArrayList<>(calls.values());
    calls.clear();
    broken.forEach(IncomingCall::cancel);
  }

  void goAway() {
    if (greeted) {
      connection.send(codec.encode(new GoAway()));
    }
  }

  long lastReceivedNanos() {
    return lastReceivedNanos;
  }

  /** Returns true if every answer has been handed to the socket. */
  boolean isIdle() {
    return calls.isEmpty() && bodySender.isEmpty() && connection.isFlushed();
  }

  void close() {
    connection.close();
  }

  void respond(long correlationId, CallOutcome ending) {
    calls.remove(correlationId);
    CallResult result = ending.result();
    if (result instanceof CallResult.Responded answer) {
      byte[] body = answer.body();
      connection.send(
          codec.encode(
              new CallMessage.Reply(
                  correlationId,
                  answer.status(),
                  answer.headers(),
                  ending.unusedAttempts(),
                  ending.downstreamCalls(),
                  ending.load(),
                  body.length,
                  BodySender.firstChunk(body))));
      BodySender.Body rest = bodySender.sendRest(correlationId, body, false);
      if (!rest.isSent()) {
        replyBodies.put(correlationId, rest);
        replyBodies.values().removeIf(BodySender.Body::isSent);
      }
    } else {
      connection.send(codec.encode(refusal(correlationId, ending)));
    }
  }

  private static CallMessage refusal(long correlationId, CallOutcome ending) {
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

  private void greet(CallMessage message) throws ProtocolException {
    if (!(message instanceof Hello hello)
        || !hello.magic().equals(Hello.MAGIC)
        || hello.version() != Hello.VERSION) {
      throw new ProtocolException("first message is not a greeting of this version");
    }
    greeted = true;
    connection.send(codec.encode(Hello.of(server.selfId())));
    server.onGreeted(this);
  }

  private void dispatch(CallMessage message) throws ProtocolException {
    if (message instanceof Call call) {
      onCall(call);
    } else if (message instanceof CallChunk chunk) {
      PartialCall partial = partialCalls.get(chunk.correlationId());
      if (partial != null) {
        partial.body().add(chunk.chunk());
      }
    } else if (message instanceof CallEnd end) {
      onCallEnd(end);
    } else if (message instanceof Cancel cancel) {
      onCancel(cancel);
    } else if (message instanceof Ping ping) {
      connection.send(codec.encode(new Pong(ping.number())));
    } else if (!(message instanceof Pong || message instanceof GoAway)) {
      throw new ProtocolException("message is not allowed from the calling side");
    }
  }

  private void onCall(Call call) throws ProtocolException {
    if (call.correlationId() <= lastId) {
      throw new ProtocolException("correlation id does not increase");
    }
    lastId = call.correlationId();
    if (call.bodyBytes() > server.maxBodyBytes()) {
      // Peers may be configured with another limit; their other calls must not suffer from it.
      respond(
          call.correlationId(),
          new CallOutcome(
              new CallResult.Refused(RefusalReason.TOO_LARGE, 0),
              call.head().extraAttempts(),
              0,
              GateLoad.IDLE));
      return;
    }
    BodyAssembler body = new BodyAssembler(call.bodyBytes(), call.chunk());
    if (body.isComplete()) {
      serve(call.correlationId(), call.head(), body);
      return;
    }
    partialBytes += call.bodyBytes();
    if (partialBytes > MAX_PARTIAL_BYTES) {
      throw new ProtocolException("too many incomplete bodies");
    }
    partialCalls.put(call.correlationId(), new PartialCall(call.head(), body, call.bodyBytes()));
  }

  private void onCallEnd(CallEnd end) throws ProtocolException {
    PartialCall partial = removePartial(end.correlationId());
    if (partial == null) {
      return;
    }
    if (!partial.body().isComplete()) {
      throw new ProtocolException("call body is shorter than announced");
    }
    serve(end.correlationId(), partial.head(), partial.body());
  }

  private void onCancel(Cancel cancel) {
    removePartial(cancel.correlationId());
    BodySender.Body reply = replyBodies.remove(cancel.correlationId());
    if (reply != null) {
      reply.cancel();
    }
    IncomingCall call = calls.remove(cancel.correlationId());
    if (call != null) {
      call.cancel();
    }
  }

  private PartialCall removePartial(long correlationId) {
    PartialCall partial = partialCalls.remove(correlationId);
    if (partial != null) {
      partialBytes -= partial.bodyBytes();
    }
    return partial;
  }

  private void serve(long correlationId, CallHead head, BodyAssembler body) {
    IncomingCall call = new IncomingCall(this, correlationId, head, body.body());
    calls.put(correlationId, call);
    server.serve(call);
  }
}
