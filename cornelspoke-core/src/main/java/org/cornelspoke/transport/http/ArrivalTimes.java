package org.cornelspoke.transport.http;

import java.util.ArrayDeque;
import java.util.Queue;

/** Remembers when the bytes of a connection arrived that have not been consumed. */
final class ArrivalTimes {

  private record Chunk(long endOffset, long arrivalNanos) {}

  private final Queue<Chunk> chunks = new ArrayDeque<>();
  private long appendedBytes;

  /** Records bytes that were appended to the buffer. */
  void onAppended(int bytes, long arrivalNanos) {
    appendedBytes += bytes;
    chunks.add(new Chunk(appendedBytes, arrivalNanos));
  }

  /**
   * Returns when the first byte that has not been consumed arrived.
   *
   * @param remainingBytes number of bytes that have not been consumed; at least 1
   */
  long ofFirst(int remainingBytes) {
    discardConsumed(remainingBytes);
    return chunks.element().arrivalNanos();
  }

  /** Forgets the times of consumed bytes. */
  void discardConsumed(int remainingBytes) {
    long offset = appendedBytes - remainingBytes;
    while (!chunks.isEmpty() && chunks.element().endOffset() <= offset) {
      chunks.remove();
    }
  }
}
