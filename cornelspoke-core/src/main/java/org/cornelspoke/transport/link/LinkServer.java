package org.cornelspoke.transport.link;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cornelspoke.protocol.call.CallCodec;
import org.cornelspoke.transport.http.HeldMemory;
import org.cornelspoke.transport.loop.InputBacklog;
import org.cornelspoke.util.Assert;

/**
 * Accepts links from other daemons.
 *
 * <p>Confined to the thread of its reactor.
 */
public final class LinkServer {

  private static final long PEER_SILENCE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final FrameServer server;
  private final String selfId;
  private final CallCodec codec;
  private final int maxBodyBytes;
  private final Consumer<IncomingCall> handler;
  private final InputBacklog backlog;
  private final Set<ServerLink> links = new LinkedHashSet<>();
  private final Meter malformed;
  private HeldMemory memory = HeldMemory.unlimited();
  private volatile InetSocketAddress boundAddress;
  private boolean goingAway;

  /**
   * Creates a server that is not yet listening.
   *
   * @param handler handles calls; must respond to each call exactly once
   * @param backlog defers calls while the event loop is behind
   */
  public LinkServer(
      NioReactor reactor,
      InetSocketAddress address,
      String selfId,
      CallCodec codec,
      int maxBodyBytes,
      Consumer<IncomingCall> handler,
      MetricRegistry metrics,
      InputBacklog backlog) {
    this.selfId = Assert.hasText(selfId, "selfId");
    this.codec = Assert.notNull(codec, "codec");
    this.maxBodyBytes = maxBodyBytes;
    this.handler = Assert.notNull(handler, "handler");
    this.backlog = Assert.notNull(backlog, "backlog");
    this.malformed = metrics.meter("link.malformed");
    this.server = new FrameServer(reactor, address, this::accept);
  }

  /** Limits the memory held for calls; must be called before the server starts. */
  public LinkServer withHeldMemory(HeldMemory newMemory) {
    this.memory = Assert.notNull(newMemory, "newMemory");
    return this;
  }

  /**
   * Starts listening.
   *
   * @throws IOException if the address is in use
   */
  public void start() throws IOException {
    server.start();
    boundAddress = server.boundAddress();
  }

  /** Returns the local address. May be called from any thread once the server is listening. */
  public InetSocketAddress boundAddress() {
    return boundAddress;
  }

  /**
   * Stops accepting links and tells every peer to send no new calls. Calls that still arrive are
   * served; each peer closes its link once its last call has ended.
   */
  public void goAway() {
    goingAway = true;
    server.stop();
    links.forEach(ServerLink::goAway);
  }

  /**
   * Closes links whose peer has been silent for too long. A peer sends a ping after 3 s without
   * received data, or after 700 ms if calls are in flight.
   */
  public void closeSilentLinks(long nowNanos) {
    for (ServerLink link : new ArrayList<>(links)) {
      if (nowNanos - link.lastReceivedNanos() > PEER_SILENCE_TIMEOUT_NANOS) {
        link.close();
      }
    }
  }

  /** Returns true if no call is in flight and all replies have been written to the sockets. */
  public boolean isIdle() {
    return links.stream().allMatch(ServerLink::isIdle);
  }

  /** Returns the number of open links. */
  public int linkCount() {
    return links.size();
  }

  /** Stops listening and closes every link; calls in flight are cancelled. */
  public void close() {
    if (!goingAway) {
      server.stop();
    }
    new ArrayList<>(links).forEach(ServerLink::close);
  }

  String selfId() {
    return selfId;
  }

  int maxBodyBytes() {
    return maxBodyBytes;
  }

  HeldMemory memory() {
    return memory;
  }

  InputBacklog backlog() {
    return backlog;
  }

  void serve(IncomingCall call) {
    handler.accept(call);
  }

  void onHandshakeCompleted(ServerLink link) {
    if (goingAway) {
      link.goAway();
    }
  }

  void onMalformed() {
    malformed.mark();
  }

  void onClosed(ServerLink link) {
    links.remove(link);
  }

  private void accept(FrameConnection connection) {
    ServerLink link = new ServerLink(this, connection, codec);
    links.add(link);
    connection.start(link);
  }
}
