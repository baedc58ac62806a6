package org.cornelspoke.transport.link;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.activej.reactor.nio.NioReactor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.model.Verdict;
import org.cornelspoke.protocol.call.CallCodec;
import org.cornelspoke.protocol.call.CallHead;
import org.cornelspoke.protocol.call.CallMessage;
import org.cornelspoke.protocol.call.CallMessage.GoAway;
import org.cornelspoke.protocol.call.CallMessage.Hello;
import org.cornelspoke.protocol.call.CallMessage.Ping;
import org.cornelspoke.protocol.call.CallMessage.Pong;
import org.cornelspoke.protocol.call.CallMessage.Refusal;
import org.cornelspoke.protocol.call.CallMessage.Reply;
import org.cornelspoke.protocol.call.CallMessage.ReplyChunk;
import org.cornelspoke.protocol.call.CallMessage.ReplyEnd;
import org.cornelspoke.protocol.call.CallOutcome;
import org.cornelspoke.protocol.call.CallResult;
import org.cornelspoke.protocol.call.MessageBody;
import org.cornelspoke.protocol.call.ProtocolException;
import org.cornelspoke.util.Assert;

/**
 * The calling side of the link to one peer. Connects before the first call, keeps the connection
 * open, and reconnects with a jittered exponential backoff after a failure.
 *
 * <p>Confined to the thread of its reactor.
 */
public final class PeerLink {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final long MIN_BACKOFF_MILLIS = 50;
  private static final long MAX_BACKOFF_MILLIS = 2_000;

  /** Time without received data after which a link with calls in flight sends a ping. */
  private static final long BUSY_PING_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /**
   * Time without received data after which an idle link sends a ping. Longer, because most links of
   * a large deployment are idle.
   */
  private static final long IDLE_PING_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Timeout of the reply to a ping, after which the peer is considered unreachable. */
  private static final long PONG_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final NioReactor reactor;
  private final Endpoint peer;
  private final String selfId;
  private final Random random;
  private final CallCodec codec;
  private final Counter lateReplies;
  private final Counter readyLinks;
  private final Counter connects;
  private final Map<Long, LinkCall> calls = new LinkedHashMap<>();
  private FrameConnection connection;
  private BodySender bodySender;
  private long lastCorrelationId;
  private int consecutiveFailures;
  private long lastReceivedNanos;
  private long lastPingNanos;
  private boolean ready;
  private boolean goingAway;
  private boolean started;
  private boolean stopped;

  /** Creates a link that is not yet connected. */
  public PeerLink(
      NioReactor reactor,
      Endpoint peer,
      String selfId,
      CallCodec codec,
      Random random,
      MetricRegistry metrics) {
    this.reactor = Assert.notNull(reactor, "reactor");
    this.peer = Assert.notNull(peer, "peer");
    this.selfId = Assert.hasText(selfId, "selfId");
    this.codec = Assert.notNull(codec, "codec");
    this.random = Assert.notNull(random, "random");
    this.lateReplies = metrics.counter("link.late-replies");
    this.readyLinks = metrics.counter("link.ready");
    this.connects = metrics.counter("link.connects");
  }

  /** Starts connecting. */
  public void start() {
    Assert.isTrue(!started, "start must be called once");
    started = true;
    connect();
  }

  /** Closes the connection once the calls in flight have ended, and does not reconnect. */
  public void stop() {
    stopped = true;
    closeIfUnused();
  }

  /** Closes the connection immediately; calls in flight fail. */
  public void abort() {
    stopped = true;
    if (connection != null) {
      connection.close();
    }
  }

  /** Returns true if a call can be sent now. */
  public boolean isReady() {
    return ready && !goingAway && !stopped;
  }

  /** Returns true if the peer has announced that it is stopping. */
  public boolean isGoingAway() {
    return goingAway;
  }

  /** Returns the number of calls in flight. */
  public int callsInFlight() {
    return calls.size();
  }

  /**
   * Sends a call.
   *
   * @throws IllegalStateException if the link is not ready
   */
  public LinkCall call(CallHead head, MessageBody body, LinkCall.Listener listener) {
    if (!isReady()) {
      throw new IllegalStateException("link to " + peer + " is not ready");
    }
    LinkCall call = new LinkCall(this, ++lastCorrelationId, listener);
    calls.put(call.correlationId(), call);
    byte[] chunk = bodySender.firstChunk(body);
    connection.send(
        codec.encode(new CallMessage.Call(call.correlationId(), head, body.sizeBytes(), chunk)));
    if (connection != null) {
      call.requestBody = bodySender.sendRemaining(call.correlationId(), body, chunk.length, true);
    }
    return call;
  }

  /**
   * Sends a ping if it is due, or closes an unresponsive connection. Called several times a second.
   */
  public void onTick(long nowNanos) {
    if (connection == null) {
      return;
    }
    boolean pingPending = lastPingNanos - lastReceivedNanos > 0;
    long pingIntervalNanos = calls.isEmpty() ? IDLE_PING_INTERVAL_NANOS : BUSY_PING_INTERVAL_NANOS;
    boolean handshakeTimedOut = !ready && nowNanos - lastReceivedNanos > PONG_TIMEOUT_NANOS;
    if (handshakeTimedOut || (pingPending && nowNanos - lastPingNanos > PONG_TIMEOUT_NANOS)) {
      connection.close();
    } else if (ready && !pingPending && nowNanos - lastReceivedNanos >= pingIntervalNanos) {
      lastPingNanos = nowNanos;
      connection.send(codec.encode(new Ping(nowNanos)));
    }
  }

  void cancel(LinkCall call) {
    if (calls.remove(call.correlationId()) == null) {
      return;
    }
    call.requestBody.cancel();
    connection.send(codec.encode(new CallMessage.Cancel(call.correlationId())));
    closeIfUnused();
  }

  private void connect() {
    if (stopped) {
      return;
    }
    connects.inc();
    FrameConnection.connect(reactor, peer.toSocketAddress(), CONNECT_TIMEOUT)
        .whenComplete(
            (newConnection, e) -> {
              if (e != null) {
                scheduleReconnect();
              } else {
                onConnected(newConnection);
              }
            });
  }

  private void onConnected(FrameConnection newConnection) {
    connection = newConnection;
    bodySender = new BodySender(newConnection, codec);
    goingAway = false;
    lastCorrelationId = 0;
    lastReceivedNanos = System.nanoTime();
    lastPingNanos = lastReceivedNanos;
    newConnection.send(codec.encode(Hello.of(selfId)));
    newConnection.start(
        new FrameListener() {
          @Override
          public void onFrame(byte[] frame) {
            receive(frame);
          }

          @Override
          public void onClosed(Exception cause) {
            onConnectionClosed();
          }
        });
    closeIfUnused();
  }

  private void scheduleReconnect() {
    if (stopped) {
      return;
    }
    long maxDelayMillis =
        Math.min(MAX_BACKOFF_MILLIS, MIN_BACKOFF_MILLIS << Math.min(consecutiveFailures, 10));
    consecutiveFailures++;
    long delayMillis = maxDelayMillis / 2 + random.nextInt((int) (maxDelayMillis / 2) + 1);
    reactor.delayBackground(delayMillis, this::connect);
  }

  private void receive(byte[] frame) {
    lastReceivedNanos = System.nanoTime();
    try {
      CallMessage message = codec.decode(frame);
      if (ready) {
        dispatch(message);
      } else {
        completeHandshake(message);
      }
    } catch (ProtocolException e) {
      connection.close();
    }
  }

  private void completeHandshake(CallMessage message) throws ProtocolException {
    if (!(message instanceof Hello hello)
        || !hello.magic().equals(Hello.MAGIC)
        || hello.version() != Hello.VERSION) {
      throw new ProtocolException("first message is not a Hello of this protocol version");
    }
    ready = true;
    readyLinks.inc();
    consecutiveFailures = 0;
  }

  private void dispatch(CallMessage message) throws ProtocolException {
    if (message instanceof Reply reply) {
      onReply(reply);
    } else if (message instanceof ReplyChunk chunk) {
      LinkCall call = findPendingCall(chunk.correlationId());
      if (call != null) {
        replyBody(call).add(chunk.chunk());
      }
    } else if (message instanceof ReplyEnd end) {
      LinkCall call = findPendingCall(end.correlationId());
      if (call != null) {
        finishReply(call);
      }
    } else if (message instanceof Refusal refusal) {
      onRefusal(refusal);
    } else if (message instanceof Ping ping) {
      connection.send(codec.encode(new Pong(ping.number())));
    } else if (message instanceof GoAway) {
      goingAway = true;
      closeIfUnused();
    } else if (!(message instanceof Pong)) {
      throw new ProtocolException("message type is not allowed from the serving side");
    }
  }

  private void onReply(Reply reply) throws ProtocolException {
    LinkCall call = findPendingCall(reply.correlationId());
    if (call == null) {
      return;
    }
    if (call.reply != null) {
      throw new ProtocolException("second reply to one call");
    }
    call.reply = reply;
    call.replyBody = new BodyAssembler(reply.bodyBytes(), reply.chunk());
    if (call.replyBody.isComplete()) {
      finishReply(call);
    }
  }

  private void finishReply(LinkCall call) throws ProtocolException {
    if (!replyBody(call).isComplete()) {
      throw new ProtocolException("reply body is shorter than announced");
    }
    Reply reply = call.reply;
    CallResult result;
    try {
      result =
          new CallResult.Responded(
              reply.status(), reply.headers(), call.replyBody.body().toByteArray());
    } catch (IllegalArgumentException e) {
      throw new ProtocolException("reply is malformed", e);
    }
    finish(
        call,
        new CallOutcome(
            result,
            Math.max(0, reply.unusedAttempts()),
            Math.max(0, reply.downstreamCalls()),
            reply.load(),
            reply.metadata()));
  }

  private void onRefusal(Refusal refusal) throws ProtocolException {
    LinkCall call = findPendingCall(refusal.correlationId());
    if (call == null) {
      return;
    }
    CallResult result =
        refusal.verdict() == Verdict.NOT_RUN
            ? new CallResult.Refused(refusal.reason(), Math.max(0, refusal.retryAfterMillis()))
            : new CallResult.Failed(refusal.reason());
    call.requestBody.cancel();
    finish(
        call,
        new CallOutcome(
            result,
            Math.max(0, refusal.unusedAttempts()),
            Math.max(0, refusal.downstreamCalls()),
            refusal.load()));
  }

  private static BodyAssembler replyBody(LinkCall call) throws ProtocolException {
    if (call.replyBody == null) {
      throw new ProtocolException("reply chunk or end without a preceding reply");
    }
    return call.replyBody;
  }

  /** Returns the call, or null if it was cancelled; its late reply is discarded. */
  private LinkCall findPendingCall(long correlationId) throws ProtocolException {
    LinkCall call = calls.get(correlationId);
    if (call == null) {
      if (correlationId <= 0 || correlationId > lastCorrelationId) {
        throw new ProtocolException("reply to a call that was never sent");
      }
      lateReplies.inc();
    }
    return call;
  }

  private void finish(LinkCall call, CallOutcome ending) {
    calls.remove(call.correlationId());
    call.end(ending);
    closeIfUnused();
  }

  private void closeIfUnused() {
    if ((stopped || goingAway) && calls.isEmpty() && connection != null) {
      connection.close();
    }
  }

  private void onConnectionClosed() {
    if (ready) {
      ready = false;
      readyLinks.dec();
    }
    connection = null;
    List<LinkCall> interrupted = new ArrayList<>(calls.values());
    calls.clear();
    scheduleReconnect();
    for (LinkCall call : interrupted) {
      call.end(new CallOutcome(resultAfterDisconnect(call), 0, 0, null));
    }
  }

  /**
   * Returns the result of a call in flight on a closed connection. The peer executes a call only
   * when it has received the complete body, so a call whose body was not sent completely did not
   * run.
   */
  private static CallResult resultAfterDisconnect(LinkCall call) {
    return call.requestBody != null && call.requestBody.isSent()
        ? new CallResult.Failed(RefusalReason.LINK_FAILED)
        : new CallResult.Refused(RefusalReason.NO_TARGET, 0);
  }
}
