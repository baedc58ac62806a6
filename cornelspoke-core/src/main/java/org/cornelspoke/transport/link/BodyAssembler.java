package org.cornelspoke.transport.link;

import java.util.Arrays;
import org.cornelspoke.protocol.call.ProtocolException;

/** Assembles one body from its chunks. */
final class BodyAssembler {

  private final int totalBytes;
  private byte[] bytes;
  private int size;

  BodyAssembler(int totalBytes, byte[] firstChunk) throws ProtocolException {
    this.totalBytes = totalBytes;
    this.bytes = firstChunk;
    this.size = firstChunk.length;
    if (size > totalBytes) {
      throw new ProtocolException("body is longer than announced");
    }
  }

  void add(byte[] chunk) throws ProtocolException {
    if (chunk.length == 0 || chunk.length > totalBytes - size) {
      throw new ProtocolException("body chunk is empty or exceeds the announced length");
    }
    if (size + chunk.length > bytes.length) {
      bytes = Arrays.copyOf(bytes, Math.min(totalBytes, (size + chunk.length) * 2));
    }
    System.arraycopy(chunk, 0, bytes, size, chunk.length);
    size += chunk.length;
  }

  boolean isComplete() {
    return size == totalBytes;
  }

  byte[] body() {
    return bytes.length == size ? bytes : Arrays.copyOf(bytes, size);
  }
}
