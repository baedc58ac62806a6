package org.cornelspoke.daemon.admin;

import io.activej.bytebuf.ByteBuf;
import java.io.ByteArrayOutputStream;

/**
 * Collects a request body up to the maximum size. The limit of the HTTP library is not used: it
 * accepts a body that exceeds it in a single chunk, and otherwise closes the connection without a
 * response.
 */
final class BoundedBody {

  // The rest of an oversized body is read and discarded, so that the client receives the response;
  // a body larger than this closes the connection instead.
  private static final int MAX_DISCARDED_BYTES = 4 * 1024 * 1024;

  private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
  private int sizeBytes;

  void append(ByteBuf chunk) throws ApiException {
    sizeBytes += chunk.readRemaining();
    if (sizeBytes <= ApiRequest.MAX_BODY_BYTES) {
      buffer.writeBytes(chunk.asArray());
      return;
    }
    chunk.recycle();
    if (sizeBytes > MAX_DISCARDED_BYTES) {
      throw ApiException.tooLarge(ApiRequest.MAX_BODY_BYTES);
    }
  }

  byte[] bytes() throws ApiException {
    if (sizeBytes > ApiRequest.MAX_BODY_BYTES) {
      throw ApiException.tooLarge(ApiRequest.MAX_BODY_BYTES);
    }
    return buffer.toByteArray();
  }
}
