package org.cornelspoke.transport.link;

import java.util.ArrayDeque;
import java.util.Queue;
import org.cornelspoke.protocol.call.CallCodec;
import org.cornelspoke.protocol.call.CallMessage;

/**
 * Sends the chunks of large bodies that follow the first chunk. The bodies of a connection are sent
 * round-robin, one chunk at a time, and the number of bytes buffered for the socket is limited, so
 * that small messages are not delayed by large bodies.
 */
final class BodySender {

  private static final int MAX_BUFFERED_BYTES = 256 << 10;

  private final FrameConnection connection;
  private final CallCodec codec;
  private final Queue<OutgoingBody> queuedBodies = new ArrayDeque<>();

  BodySender(FrameConnection connection, CallCodec codec) {
    this.connection = connection;
    this.codec = codec;
    connection.onWritable(this::sendChunks);
  }

  /** Returns the chunk of a body that is sent in the first message. */
  static byte[] firstChunk(byte[] body) {
    return body.length <= CallCodec.CHUNK_BYTES
        ? body
        : java.util.Arrays.copyOf(body, CallCodec.CHUNK_BYTES);
  }

  /** Sends the chunks of a body after the first one. */
  OutgoingBody sendRemaining(long correlationId, byte[] bytes, boolean request) {
    OutgoingBody body = new OutgoingBody(correlationId, bytes, request);
    if (body.position < bytes.length) {
      queuedBodies.add(body);
      sendChunks();
    }
    return body;
  }

  /** Returns true if no body is queued. */
  boolean isEmpty() {
    return queuedBodies.isEmpty();
  }

  private void sendChunks() {
    while (connection.pendingBytes() < MAX_BUFFERED_BYTES && !queuedBodies.isEmpty()) {
      OutgoingBody body = queuedBodies.remove();
      if (!body.cancelled) {
        sendChunk(body);
      }
    }
  }

  private void sendChunk(OutgoingBody body) {
    int end = Math.min(body.bytes.length, body.position + CallCodec.CHUNK_BYTES);
    byte[] chunk = java.util.Arrays.copyOfRange(body.bytes, body.position, end);
    body.position = end;
    connection.send(
        codec.encode(
            body.request
                ? new CallMessage.CallChunk(body.correlationId, chunk)
                : new CallMessage.ReplyChunk(body.correlationId, chunk)));
    if (body.isSent()) {
      connection.send(
          codec.encode(
              body.request
                  ? new CallMessage.CallEnd(body.correlationId)
                  : new CallMessage.ReplyEnd(body.correlationId)));
    } else {
      queuedBodies.add(body);
    }
  }

  /** A body that is being sent. */
  static final class OutgoingBody {

    private final long correlationId;
    private final byte[] bytes;
    private final boolean request;
    private int position;
    private boolean cancelled;

    private OutgoingBody(long correlationId, byte[] bytes, boolean request) {
      this.correlationId = correlationId;
      this.bytes = bytes;
      this.request = request;
      this.position = Math.min(bytes.length, CallCodec.CHUNK_BYTES);
    }

    /** Returns true once all bytes have been passed to the connection. */
    boolean isSent() {
      return position == bytes.length;
    }

    void cancel() {
      cancelled = true;
    }
  }
}
