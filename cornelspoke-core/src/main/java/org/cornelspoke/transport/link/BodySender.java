package org.cornelspoke.transport.link;

import java.util.ArrayDeque;
import java.util.Queue;
import org.cornelspoke.protocol.call.CallCodec;
import org.cornelspoke.protocol.call.CallMessage;
import org.cornelspoke.protocol.call.MessageBody;

/**
 * Sends the chunks of large bodies that follow the first chunk. The bodies of a connection are sent
 * round-robin, one chunk at a time, and the number of bytes buffered for the socket is limited, so
 * that small messages are not delayed by large bodies.
 */
final class BodySender {

  private static final int MAX_BUFFERED_BYTES = 256 << 10;
  private static final byte[] NO_CHUNK = new byte[0];

  private final FrameConnection connection;
  private final CallCodec codec;
  private final Queue<OutgoingBody> queuedBodies = new ArrayDeque<>();

  BodySender(FrameConnection connection, CallCodec codec) {
    this.connection = connection;
    this.codec = codec;
    connection.onWritable(this::sendChunks);
  }

  /**
   * Returns the chunk of a body that is sent in the first message: none if the peer reads slowly,
   * so that the bodies of many calls are not buffered for it.
   */
  byte[] firstChunk(MessageBody body) {
    if (connection.pendingBytes() >= MAX_BUFFERED_BYTES) {
      return NO_CHUNK;
    }
    return body.sizeBytes() <= CallCodec.CHUNK_BYTES
        ? body.toByteArray()
        : body.copyOfRange(0, CallCodec.CHUNK_BYTES);
  }

  /**
   * Sends the chunks of a body after the first one.
   *
   * @param sentBytes size of the first chunk
   */
  OutgoingBody sendRemaining(long correlationId, MessageBody body, int sentBytes, boolean request) {
    OutgoingBody outgoing = new OutgoingBody(correlationId, body, sentBytes, request);
    if (!outgoing.isSent()) {
      queuedBodies.add(outgoing);
      sendChunks();
    }
    return outgoing;
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
    int end = Math.min(body.content.sizeBytes(), body.position + CallCodec.CHUNK_BYTES);
    byte[] chunk = body.content.copyOfRange(body.position, end);
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
    private final MessageBody content;
    private final boolean request;
    private int position;
    private boolean cancelled;

    private OutgoingBody(long correlationId, MessageBody content, int position, boolean request) {
      this.correlationId = correlationId;
      this.content = content;
      this.request = request;
      this.position = position;
    }

    /** Returns true once all bytes have been passed to the connection. */
    boolean isSent() {
      return position == content.sizeBytes();
    }

    void cancel() {
      cancelled = true;
    }
  }
}
