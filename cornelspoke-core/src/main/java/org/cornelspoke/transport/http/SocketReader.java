package org.cornelspoke.transport.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;

/** Reads from a socket continuously, so that a close by the peer is detected immediately. */
final class SocketReader {

  /** Receives the bytes read. */
  interface Sink {
    /** Called with the bytes read. The reader recycles the buffer afterwards. */
    void onData(ByteBuf buf);

    /** Called at the end of the stream ({@code clean}) or after the socket failed. */
    void onEnd(boolean clean);
  }

  private final ITcpSocket socket;
  private final Sink sink;
  private boolean paused;
  private boolean reading;
  private boolean ended;

  SocketReader(ITcpSocket socket, Sink sink) {
    this.socket = socket;
    this.sink = sink;
  }

  void start() {
    readNext();
  }

  void pause() {
    paused = true;
  }

  void resume() {
    if (paused) {
      paused = false;
      readNext();
    }
  }

  private void readNext() {
    while (!paused && !reading && !ended && !socket.isClosed()) {
      reading = true;
      Promise<ByteBuf> read = socket.read();
      if (!read.isComplete()) {
        read.whenComplete(
            (buf, e) -> {
              handleRead(buf, e);
              readNext();
            });
        return;
      }
      handleRead(read.isResult() ? read.getResult() : null, read.getException());
    }
  }

  private void handleRead(ByteBuf buf, Exception error) {
    reading = false;
    if (buf == null) {
      ended = true;
      sink.onEnd(error == null);
      return;
    }
    try {
      sink.onData(buf);
    } finally {
      buf.recycle();
    }
  }
}
