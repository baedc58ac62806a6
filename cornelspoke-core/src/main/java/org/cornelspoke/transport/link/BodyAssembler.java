package org.cornelspoke.transport.link;

import java.util.ArrayList;
import java.util.List;
import org.cornelspoke.protocol.call.MessageBody;
import org.cornelspoke.protocol.call.ProtocolException;

/** Assembles one body from its chunks, which become the segments of the body. */
final class BodyAssembler {

  private final int totalBytes;
  private final List<byte[]> chunks = new ArrayList<>();
  private int size;

  BodyAssembler(int totalBytes, byte[] firstChunk) throws ProtocolException {
    this.totalBytes = totalBytes;
    this.size = firstChunk.length;
    if (size > totalBytes) {
      throw new ProtocolException("body is longer than announced");
    }
    chunks.add(firstChunk);
  }

  void add(byte[] chunk) throws ProtocolException {
    if (chunk.length == 0 || chunk.length > totalBytes - size) {
      throw new ProtocolException("body chunk is empty or exceeds the announced length");
    }
    chunks.add(chunk);
    size += chunk.length;
  }

  boolean isComplete() {
    return size == totalBytes;
  }

  MessageBody body() {
    return chunks.size() == 1 ? MessageBody.of(chunks.get(0)) : MessageBody.ofSegments(chunks);
  }
}
