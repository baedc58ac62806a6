package org.cornelspoke.bench.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import java.util.Optional;
import java.util.function.Consumer;

/** One accepted connection: reads requests and gives each to the handler when its turn comes. */
final class WireServerConnection {

  private final ITcpSocket socket;
  private final Consumer<WireExchange> handler;
  private final Consumer<WireServerConnection> closeListener;
  private final WireParser parser = WireParser.ofRequests();
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

  /** Reads on while a request is being handled, so that a closed connection is seen at once. */
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
              advance();
              read();
            });
  }

  void write(byte[] bytes) {
    if (!closed) {
      socket.write(ByteBuf.wrapForReading(bytes)).whenException(e -> close());
    }
  }

  void finished() {
    current = null;
    advance();
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
      cancelled.connectionClosed();
    }
  }

  private void advance() {
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
