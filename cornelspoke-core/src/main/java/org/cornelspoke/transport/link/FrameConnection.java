package org.cornelspoke.transport.link;

import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufPool;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.cornelspoke.util.Assert;

/**
 * One TCP connection that carries frames. A frame is a 4-byte big-endian length followed by that
 * many bytes. Frames that are sent in the same iteration of the event loop are written together.
 *
 * <p>Confined to the thread of its reactor. The connection is closed if a frame exceeds the size
 * limit, the listener throws an exception, or the peer reads too slowly.
 */
public final class FrameConnection {

  /** Largest frame in bytes. */
  public static final int MAX_FRAME_BYTES = 1 << 20;

  /** Limit of buffered outgoing bytes above which a slow peer is disconnected. */
  public static final int MAX_PENDING_BYTES = 64 << 20;

  private static final int LENGTH_BYTES = 4;
  private static final SocketSettings SOCKET_SETTINGS =
      SocketSettings.builder().withTcpNoDelay(true).build();

  private final NioReactor reactor;
  private final ITcpSocket socket;
  private final byte[] lengthPrefix = new byte[LENGTH_BYTES];
  private FrameListener listener;
  private Runnable writableListener;
  private ByteBuf pending = ByteBuf.empty();
  private boolean flushScheduled;
  private boolean writing;
  private boolean closed;
  private int lengthBytesRead;
  private byte[] frame;
  private int frameBytesRead;
  private boolean frameReceived;

  private FrameConnection(NioReactor reactor, ITcpSocket socket) {
    this.reactor = reactor;
    this.socket = socket;
  }

  /**
   * Opens a connection. Call {@link #start} on the result to receive frames.
   *
   * @return a promise that fails with an {@link IOException} if the connection is not established
   *     within the timeout
   */
  public static Promise<FrameConnection> connect(
      NioReactor reactor, InetSocketAddress address, Duration timeout) {
    return TcpSocket.connect(reactor, address, timeout, SOCKET_SETTINGS)
        .map(socket -> new FrameConnection(reactor, socket));
  }

  /** Wraps a socket that a server accepted. */
  public static FrameConnection ofAccepted(NioReactor reactor, ITcpSocket socket) {
    return new FrameConnection(reactor, socket);
  }

  /** Starts reading. Frames are passed to the listener until the connection is closed. */
  public void start(FrameListener frameListener) {
    Assert.isTrue(listener == null, "start must be called once");
    this.listener = Assert.notNull(frameListener, "frameListener");
    readNext();
  }

  /**
   * Sends a frame. Frames are sent in order. Does nothing if the connection is closed.
   *
   * @throws IllegalArgumentException if the frame is larger than {@link #MAX_FRAME_BYTES}
   */
  public void send(byte[] content) {
    Assert.isTrue(content.length <= MAX_FRAME_BYTES, "frame must be at most 1 MiB");
    if (closed) {
      return;
    }
    ByteBuf buf = ByteBufPool.ensureWriteRemaining(pending, LENGTH_BYTES + content.length);
    buf.writeInt(content.length);
    buf.put(content);
    pending = buf;
    if (buf.readRemaining() > MAX_PENDING_BYTES) {
      closeWith(new IOException("peer reads too slowly"));
      return;
    }
    if (!flushScheduled && !writing) {
      flushScheduled = true;
      reactor.postLast(this::flush);
    }
  }

  /** Returns the number of sent bytes that have not yet been passed to the socket. */
  public int pendingBytes() {
    return pending.readRemaining();
  }

  /** Returns true if all sent bytes have been written to the socket. */
  public boolean isFlushed() {
    return !writing && !pending.canRead();
  }

  /** Sets a listener that runs each time all sent bytes have been written to the socket. */
  public void onWritable(Runnable newWritableListener) {
    this.writableListener = Assert.notNull(newWritableListener, "newWritableListener");
  }

  /** Returns true if at least one complete frame has been received. */
  boolean hasReceivedFrame() {
    return frameReceived;
  }

  /** Returns true once either side has closed the connection. */
  public boolean isClosed() {
    return closed;
  }

  /** Closes the connection. Frames that have not been written are discarded. */
  public void close() {
    closeWith(new IOException("closed locally"));
  }

  private void flush() {
    flushScheduled = false;
    if (closed || writing || !pending.canRead()) {
      return;
    }
    ByteBuf buf = pending;
    pending = ByteBuf.empty();
    writing = true;
    socket
        .write(buf)
        .whenComplete(
            (result, e) -> {
              writing = false;
              if (e != null) {
                closeWith(e);
              } else {
                flush();
                if (!writing && !closed && writableListener != null) {
                  writableListener.run();
                }
              }
            });
  }

  private void readNext() {
    while (!closed) {
      Promise<ByteBuf> read = socket.read();
      if (!read.isComplete()) {
        read.whenComplete(
            (buf, e) -> {
              if (handleRead(buf, e)) {
                readNext();
              }
            });
        return;
      }
      if (!handleRead(read.isResult() ? read.getResult() : null, read.getException())) {
        return;
      }
    }
  }

  private boolean handleRead(ByteBuf buf, Exception error) {
    if (error != null) {
      closeWith(error);
      return false;
    }
    if (buf == null) {
      closeWith(new EOFException("closed by the peer"));
      return false;
    }
    try {
      consume(buf);
    } catch (IOException | RuntimeException e) {
      closeWith(e);
    } finally {
      buf.recycle();
    }
    return !closed;
  }

  private void consume(ByteBuf buf) throws IOException {
    while (buf.canRead() && !closed) {
      if (frame == null) {
        readLength(buf);
      }
      if (frame != null) {
        readContent(buf);
      }
    }
  }

  private void readLength(ByteBuf buf) throws IOException {
    while (lengthBytesRead < LENGTH_BYTES && buf.canRead()) {
      lengthPrefix[lengthBytesRead++] = buf.readByte();
    }
    if (lengthBytesRead < LENGTH_BYTES) {
      return;
    }
    int length =
        (lengthPrefix[0] & 0xff) << 24
            | (lengthPrefix[1] & 0xff) << 16
            | (lengthPrefix[2] & 0xff) << 8
            | (lengthPrefix[3] & 0xff);
    if (length <= 0 || length > MAX_FRAME_BYTES) {
      throw new IOException("frame length out of range: " + length);
    }
    lengthBytesRead = 0;
    frame = new byte[length];
    frameBytesRead = 0;
  }

  private void readContent(ByteBuf buf) {
    int count = Math.min(frame.length - frameBytesRead, buf.readRemaining());
    buf.read(frame, frameBytesRead, count);
    frameBytesRead += count;
    if (frameBytesRead == frame.length) {
      byte[] completeFrame = frame;
      frame = null;
      frameReceived = true;
      listener.onFrame(completeFrame);
    }
  }

  private void closeWith(Exception cause) {
    if (closed) {
      return;
    }
    closed = true;
    pending.recycle();
    pending = ByteBuf.empty();
    socket.close();
    if (listener != null) {
      listener.onClosed(cause);
    }
  }
}
