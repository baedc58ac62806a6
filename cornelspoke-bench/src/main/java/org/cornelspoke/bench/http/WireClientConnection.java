package org.cornelspoke.bench.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.Deque;
import java.util.Optional;

/** A client connection that carries at most one exchange at a time. */
final class WireClientConnection {

  private final NioReactor reactor;
  private final ITcpSocket socket;
  private final WireClient client;
  private final Deque<WireClientConnection> pool;
  private final WireParser parser = WireParser.forResponses();
  private SettablePromise<WireMessage> pendingResponse;
  private ScheduledRunnable timeout;
  private boolean closed;

  WireClientConnection(
      NioReactor reactor, ITcpSocket socket, WireClient client, Deque<WireClientConnection> pool) {
    this.reactor = reactor;
    this.socket = socket;
    this.client = client;
    this.pool = pool;
  }

  void exchange(byte[] request, long timeoutMillis, WireCall call) {
    pendingResponse = call.response;
    call.setCancelAction(() -> fail(WireException.Kind.CANCELLED, "cancelled"));
    timeout =
        reactor.delayBackground(timeoutMillis, () -> fail(WireException.Kind.TIMEOUT, "timeout"));
    socket
        .write(ByteBuf.wrapForReading(request))
        .whenException(e -> fail(WireException.Kind.CLOSED, "write failed"));
  }

  void read() {
    if (closed) {
      return;
    }
    socket
        .read()
        .whenComplete(
            (buf, e) -> {
              if (e != null || buf == null) {
                onStreamEnd();
                return;
              }
              parser.feed(buf.array(), buf.head(), buf.readRemaining());
              buf.recycle();
              if (pendingResponse == null) {
                client.countUnsolicitedResponse();
                close();
                return;
              }
              parseResponse();
              read();
            });
  }

  void close() {
    if (!closed) {
      closed = true;
      pool.remove(this);
      socket.close();
    }
  }

  private void parseResponse() {
    try {
      Optional<WireMessage> message = parser.next();
      while (message.isPresent() && message.get().status() < 200) {
        message = parser.next();
      }
      message.ifPresent(this::complete);
    } catch (WireException | NumberFormatException e) {
      fail(WireException.Kind.MALFORMED, String.valueOf(e.getMessage()));
    }
  }

  private void onStreamEnd() {
    try {
      Optional<WireMessage> message = pendingResponse == null ? Optional.empty() : parser.finish();
      if (message.isPresent()) {
        complete(message.get());
      }
    } catch (WireException e) {
      fail(WireException.Kind.MALFORMED, String.valueOf(e.getMessage()));
    }
    if (parser.isIdle()) {
      fail(WireException.Kind.CLOSED, "closed before the response");
    } else {
      fail(WireException.Kind.TRUNCATED, "closed inside the response");
    }
  }

  private void complete(WireMessage message) {
    SettablePromise<WireMessage> result = pendingResponse;
    pendingResponse = null;
    timeout.cancel();
    boolean unsolicited = !parser.isIdle();
    if (unsolicited) {
      client.countUnsolicitedResponse();
    }
    boolean reusable =
        !unsolicited && !message.header("Connection").orElse("").equalsIgnoreCase("close");
    if (reusable && !closed && !client.isClosed()) {
      pool.addLast(this);
    } else {
      close();
    }
    result.set(message);
  }

  private void fail(WireException.Kind kind, String message) {
    SettablePromise<WireMessage> result = pendingResponse;
    pendingResponse = null;
    close();
    if (result != null) {
      timeout.cancel();
      result.setException(new WireException(kind, message));
    }
  }
}
