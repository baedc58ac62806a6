package org.cornelspoke.transport.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufPool;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.function.IntConsumer;
import org.cornelspoke.protocol.call.MessageBody;

/**
 * Writes a message in parts. A large body isn't copied as a whole, and each part is small enough
 * for the direct buffer into which the runtime copies it.
 */
final class BodyWriter {

  /** Size up to which head and body are written together. */
  private static final int MAX_PART_BYTES = 256 << 10;

  private final ITcpSocket socket;
  private final MessageBody body;
  private final IntConsumer acceptedBytes;
  private final SettablePromise<Void> written = new SettablePromise<>();
  private int segmentNumber;
  private int position;

  private BodyWriter(ITcpSocket socket, MessageBody body, IntConsumer acceptedBytes) {
    this.socket = socket;
    this.body = body;
    this.acceptedBytes = acceptedBytes;
  }

  /**
   * Writes the head and then the body; completes when the socket has accepted all bytes.
   *
   * @param acceptedBytes called with the size of each part that the socket has accepted
   */
  static Promise<Void> write(
      ITcpSocket socket, ByteBuf head, MessageBody body, IntConsumer acceptedBytes) {
    if (head.readRemaining() + body.sizeBytes() <= MAX_PART_BYTES) {
      ByteBuf message = ByteBufPool.ensureWriteRemaining(head, body.sizeBytes());
      body.segments().forEach(message::put);
      return writePart(socket, message, acceptedBytes);
    }
    BodyWriter writer = new BodyWriter(socket, body, acceptedBytes);
    writer.writeAll(writePart(socket, head, acceptedBytes));
    return writer.written;
  }

  private static Promise<Void> writePart(
      ITcpSocket socket, ByteBuf part, IntConsumer acceptedBytes) {
    int bytes = part.readRemaining();
    return socket.write(part).whenResult(() -> acceptedBytes.accept(bytes));
  }

  /** Writes parts after the previous write. A loop, because a body has many parts. */
  private void writeAll(Promise<Void> previousWrite) {
    Promise<Void> write = previousWrite;
    while (write.isResult() && segmentNumber < body.segments().size()) {
      write = writePart(socket, nextPart(), acceptedBytes);
    }
    if (write.isComplete()) {
      onCompleted(write.getException());
    } else {
      write.whenComplete(
          (result, e) -> {
            if (e == null && segmentNumber < body.segments().size()) {
              writeAll(writePart(socket, nextPart(), acceptedBytes));
            } else {
              onCompleted(e);
            }
          });
    }
  }

  private void onCompleted(Exception e) {
    if (e == null) {
      written.set(null);
    } else {
      written.setException(e);
    }
  }

  private ByteBuf nextPart() {
    byte[] segment = body.segments().get(segmentNumber);
    int start = position;
    int end = Math.min(segment.length, start + MAX_PART_BYTES);
    position = end;
    if (end == segment.length) {
      segmentNumber++;
      position = 0;
    }
    return ByteBuf.wrap(segment, start, end);
  }
}
