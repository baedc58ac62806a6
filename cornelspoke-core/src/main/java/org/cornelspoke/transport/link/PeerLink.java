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
import org.cornelspoke.protocol.call.ProtocolException;
import org.cornelspoke.util.Assert;

/**
 * The calling side of the link to one peer. It opens its connection ahead, keeps it, and opens it
 * again with a jittered backoff after a failure.
 *
 * <p>Belongs to the thread of its reactor.
 */
public final class PeerLink {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final long MIN_BACKOFF_MILLIS = 50;
  private static final long MAX_BACKOFF_MILLIS = 2_000;

  /** Silence after which a peer that owes an answer is asked whether it lives. */
  private static final long BUSY_PING_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /** Silence after which an unused link is tested; in a large fleet most links are unused. */
  private static final long IDLE_PING_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Time for the answer to a ping, after which the peer counts as unreachable. */
  private static final long PONG_NANOS = TimeUnit.SECONDS.toNanos(2);

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
  private long lastId;
  private int failures;
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

  /** Starts to connect. */
  public void start() {
    Assert.isTrue(!started, "start must be called once");
    started = true;
    connect();
  }

  /** Closes the connection once the calls in flight have ended, and connects no more. */
  public void stop() {
    stopped = true;
    closeIfUnused();
  }

  /** Closes the connection at once; calls in flight fail. */
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

  /** Returns true if the peer has announced its stop. */
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
  public LinkCall call(CallHead head, byte[] body, LinkCall.Listener listener) {
    if (!isReady()) {
      throw new IllegalStateException("link to " + peer + " is not ready");
    }
    LinkCall call = new LinkCall(this, ++lastId, listener);
    calls.put(call.correlationId(), call);
    byte[] chunk = BodySender.firstChunk(body);
    connection.send(
        codec.encode(new CallMessage.Call(call.correlationId(), head, body.length, chunk)));
    if (connection != null) {
      call.requestBody = bodySender.sendRest(call.correlationId(), body, true);
    }
    return call;
  }

  /** Sends a ping or closes a silent connection. Called several times per second. */
  public void onTick(long nowNanos) {
    if (connection == null) {
      return;
    }
    boolean pinged = lastPingNanos - lastReceivedNanos > 0;
    long pingNanos = calls.isEmpty() ? IDLE_PING_NANOS : BUSY_PING_NANOS;
    boolean greetingMissing = !ready && nowNanos - lastReceivedNanos > PONG_NANOS;
    if (greetingMissing || (pinged && nowNanos - lastPingNanos > PONG_NANOS)) {
      connection.close();
    } else if (ready && !pinged && nowNanos - lastReceivedNanos >= pingNanos) {
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
            (opened, e) -> {
              if (e != null) {
                reconnectLater();
              } else {
                onConnected(opened);
              }
            });
  }

  private void onConnected(FrameConnection opened) {
    connection = opened;
    bodySender = new BodySender(opened, codec);
    goingAway = false;
    lastId = 0;
    lastReceivedNanos = System.nanoTime();
    lastPingNanos = lastReceivedNanos;
    opened.send(codec.encode(Hello.of(selfId)));
    opened.start(
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

  private void reconnectLater() {
    if (stopped) {
      return;
    }
    long ceiling = Math.min(MAX_BACKOFF_MILLIS, MIN_BACKOFF_MILLIS << Math.min(failures, 10));
    failures++;
    long delay = ceiling / 2 + random.nextInt((int) (ceiling / 2) + 1);
    reactor.delayBackground(delay, this::connect);
  }

  private void receive(byte[] frame) {
    lastReceivedNanos = System.nanoTime();
    try {
      CallMessage message = codec.decode(frame);
      if (ready) {
        dispatch(message);
      } else {
        greet(message);
      }
    } catch (ProtocolException e) {
      connection.close();
    }
  }

  private void greet(CallMessage message) throws ProtocolException {
    if (!(message instanceof Hello hello)
        || !hello.magic().equals(Hello.MAGIC)
        || hello.version() != Hello.VERSION) {
      throw new ProtocolException("first message is not a greeting of this version");
    }
    ready = true;
    readyLinks.inc();
    failures = 0;
  }

  private void dispatch(CallMessage message) throws ProtocolException {
    if (message instanceof Reply reply) {
      onReply(reply);
    } else if (message instanceof ReplyChunk chunk) {
      LinkCall call = pending(chunk.correlationId());
      if (call != null) {
        replyBody(call).add(chunk.chunk());
      }
    } else if (message instanceof ReplyEnd end) {
      LinkCall call = pending(end.correlationId());
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
      throw new ProtocolException("message is not allowed from the serving side");
    }
  }

  private void onReply(Reply reply) throws ProtocolException {
    LinkCall call = pending(reply.correlationId());
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
      result = new CallResult.Responded(reply.status(), reply.headers(), call.replyBody.body());
    } catch (IllegalArgumentException e) {
      throw new ProtocolException("reply is malformed", e);
    }
    finish(
        call,
        new CallOutcome(
            result,
            Math.max(0, reply.unusedAttempts()),
            Math.max(0, reply.downstreamCalls()),
            reply.load()));
  }

  private void onRefusal(Refusal refusal) throws ProtocolException {
    LinkCall call = pending(refusal.correlationId());
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
      throw new ProtocolException("reply body without a reply");
    }
    return call.replyBody;
  }

  /** Returns the call, or null if it was cancelled: a late reply reaches nobody. */
  private LinkCall pending(long correlationId) throws ProtocolException {
    LinkCall call = calls.get(correlationId);
    if (call == null) {
      if (correlationId <= 0 || correlationId > lastId) {
        throw new ProtocolException("reply to a call that was never made");
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
    List<LinkCall> broken = new ArrayList<>(calls.values());
    calls.clear();
    reconnectLater();
    for (LinkCall call : broken) {
      call.end(new CallOutcome(resultOfBreak(call), 0, 0, null));
    }
  }

  /** The peer starts a call only when it has the whole body. */
  private static CallResult resultOfBreak(LinkCall call) {
    return call.requestBody != null && call.requestBody.isSent()
        ? new CallResult.Failed(RefusalReason.LINK_FAILED)
        : new CallResult.Refused(RefusalReason.NO_TARGET, 0);
  }
}
