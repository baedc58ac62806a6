package org.cornelspoke.transport.http;

import io.activej.bytebuf.ByteBuf;
import java.util.Arrays;

/** Buffer of received bytes that have not been consumed. */
final class ReadBuffer {

  static final int INITIAL_BYTES = 2_048;

  /** Size above which an empty buffer is replaced, because its connection may stay idle. */
  private static final int MAX_EMPTY_BYTES = 16 << 10;

  private byte[] bytes = new byte[INITIAL_BYTES];
  private int head;
  private int tail;

  void append(ByteBuf buf) {
    int count = buf.readRemaining();
    ensureCapacity(count);
    buf.read(bytes, tail, count);
    tail += count;
  }

  byte[] array() {
    return bytes;
  }

  int head() {
    return head;
  }

  int tail() {
    return tail;
  }

  int size() {
    return tail - head;
  }

  int capacity() {
    return bytes.length;
  }

  void consume(int count) {
    head += count;
    if (head == tail) {
      clear();
    }
  }

  void clear() {
    head = 0;
    tail = 0;
    if (bytes.length > MAX_EMPTY_BYTES) {
      bytes = new byte[INITIAL_BYTES];
    }
  }

  private void ensureCapacity(int count) {
    if (tail + count <= bytes.length) {
      return;
    }
    int size = size();
    if (size + count <= bytes.length) {
      System.arraycopy(bytes, head, bytes, 0, size);
    } else {
      byte[] larger = new byte[Math.max(bytes.length * 2, size + count)];
      System.arraycopy(bytes, head, larger, 0, size);
      bytes = larger;
    }
    head = 0;
    tail = size;
  }

  @Override
  public String toString() {
    return Arrays.toString(Arrays.copyOfRange(bytes, head, tail));
  }
}
