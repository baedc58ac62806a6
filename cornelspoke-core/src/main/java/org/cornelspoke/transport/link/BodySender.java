package org.cornelspoke.transport.link;

import java.util.ArrayDeque;
import java.util.Queue;
import org.cornelspoke.protocol.call.CallCodec;
import org.cornelspoke.protocol.call.CallMessage;

/**
 * Sends the later chunks of large bodies. The bodies of a connection take turns, and only a bounded
 * number of bytes waits in front of the socket, so that a small message overtakes a large body.
 */
final class BodySender {

  private static final int MAX_AHEAD_BYTES = 256 << 10;

  private final FrameConnection connection;
  private final CallCodec codec;
  private final Queue<Body> bodies = new ArrayDeque<>();

  BodySender(FrameConnection connection, CallCodec codec) {
    this.connection = connection;
    this.codec = codec;
    connection.onWritable(this::sendChunks);
  }

  /** Returns the part of a body that travels in the first message. */
  static byte[] firstChunk(byte[] body) {
    return body.length <= CallCodec.CHUNK_BYTES
        ? body
        : java.util.Arrays.copyOf(body, CallCodec.CHUNK_BYTES);
  }

  /** Sends the rest of a body after its first chunk. */
  Body sendRest(long correlationId, byte[] bytes, boolean request) {
    Body body = new Body(correlationId, bytes, request);
    if (body.position < bytes.length) {
      bodies.add(body);
      sendChunks();
    }
    return body;
  }

  /** Returns true if no body waits to be sent. */
  boolean isEmpty() {
    return bodies.isEmpty();
  }

  private void sendChunks() {
    while (connection.pendingBytes() < MAX_AHEAD_BYTES && !bodies.isEmpty()) {
      Body body = bodies.remove();
      if (!body.cancelled) {
        sendChunk(body);
      }
    }
  }

  private void sendChunk(Body body) {
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
      bodies.add(body);
    }
  }

  /** A body that is being sent. */
  static final class Body {

    private final long correlationId;
    private final byte[] bytes;
    private final boolean request;
    private int position;
    private boolean cancelled;

    private Body(long correlationId, byte[] bytes, boolean request) {
      this.correlationId = correlationId;
      this.bytes = bytes;
      this.request = request;
      this.position = Math.min(bytes.length, CallCodec.CHUNK_BYTES);
    }

    /** Returns true once every byte was handed to the connection. */
    boolean isSent() {
      return position == bytes.length;
    }

    void cancel() {
      cancelled = true;
    }
  }
}
