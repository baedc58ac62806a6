package org.cornelspoke.daemon.admin;

import io.activej.bytebuf.ByteBuf;
import java.io.ByteArrayOutputStream;

/**
 * Collects a request body up to the largest size. The HTTP library's own limit lets a body through
 * that exceeds it in one piece, and breaks the connection without an answer otherwise.
 */
final class BoundedBody {

  // The rest of a body that is too large is read and dropped, so that the client gets its answer;
  // a body beyond this size costs the client its connection instead.
  private static final int MAX_DROPPED_BYTES = 4 * 1024 * 1024;

  private final ByteArrayOutputStream kept = new ByteArrayOutputStream();
  private int sizeBytes;

  void append(ByteBuf piece) throws ApiException {
    sizeBytes += piece.readRemaining();
    if (sizeBytes <= ApiRequest.MAX_BODY_BYTES) {
      kept.writeBytes(piece.asArray());
      return;
    }
    piece.recycle();
    if (sizeBytes > MAX_DROPPED_BYTES) {
      throw ApiException.tooLarge(ApiRequest.MAX_BODY_BYTES);
    }
  }

  byte[] bytes() throws ApiException {
    if (sizeBytes > ApiRequest.MAX_BODY_BYTES) {
      throw ApiException.tooLarge(ApiRequest.MAX_BODY_BYTES);
    }
    return kept.toByteArray();
  }
}
