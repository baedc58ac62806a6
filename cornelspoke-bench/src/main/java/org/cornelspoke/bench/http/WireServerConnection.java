package org.cornelspoke.bench.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import java.util.Optional;
import java.util.function.Consumer;

/** An accepted connection, which passes its requests to the handler one at a time. */
final class WireServerConnection {

  private final ITcpSocket socket;
  private final Consumer<WireExchange> handler;
  private final Consumer<WireServerConnection> closeListener;
  private final WireParser parser = WireParser.forRequests();
  private WireExchange current;
  private boolean closed;

  WireServerConnection(
      ITcpSocket socket,
      Consumer<WireExchange> handler,
      Consumer<WireServerConnection> closeListener) {
    this.socket = socket;
    this.handler = handler;
    this.closeListener = closeListener;
  }

  /** Keeps reading while a request is handled, so that a closed connection is detected at once. */
  void read() {
    if (closed) {
      return;
    }
    socket
        .read()
        .whenComplete(
            (buf, e) -> {
              if (e != null || buf == null) {
                close();
                return;
              }
              parser.feed(buf.array(), buf.head(), buf.readRemaining());
              buf.recycle();
              handleNextRequests();
              read();
            });
  }

  void write(byte[] bytes) {
    if (!closed) {
      socket.write(ByteBuf.wrapForReading(bytes)).whenException(e -> close());
    }
  }

  void onResponseSent() {
    current = null;
    handleNextRequests();
  }

  boolean isClosed() {
    return closed;
  }

  void close() {
    if (closed) {
      return;
    }
    closed = true;
    socket.close();
    closeListener.accept(this);
    WireExchange cancelled = current;
    current = null;
    if (cancelled != null) {
      cancelled.onConnectionClosed();
    }
  }

  private void handleNextRequests() {
    try {
      while (current == null && !closed) {
        Optional<WireMessage> request = parser.next();
        if (request.isEmpty()) {
          return;
        }
        current = new WireExchange(this, request.get());
        handler.accept(current);
      }
    } catch (WireException e) {
      close();
    }
  }
}
