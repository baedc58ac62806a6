package org.cornelspoke.protocol.call;

import java.security.MessageDigest;
import java.util.List;
import org.cornelspoke.util.Assert;

/**
 * The complete body of a request, in segments. A large body is never copied as a whole, because the
 * heap of a daemon has no room for two of the largest bodies.
 *
 * <p>Immutable; the segments must not be modified.
 */
public final class MessageBody {

  /** A body of 0 bytes. */
  public static final MessageBody EMPTY = new MessageBody(List.of(), 0);

  private final List<byte[]> segments;
  private final int sizeBytes;

  private MessageBody(List<byte[]> segments, int sizeBytes) {
    this.segments = segments;
    this.sizeBytes = sizeBytes;
  }

  /** Returns a body of one segment. The array must not be modified afterwards. */
  public static MessageBody of(byte[] bytes) {
    return bytes.length == 0 ? EMPTY : new MessageBody(List.of(bytes), bytes.length);
  }

  /**
   * Returns a body of several segments. The arrays must not be modified afterwards.
   *
   * @throws IllegalArgumentException if the segments have more than {@link Integer#MAX_VALUE} bytes
   */
  public static MessageBody ofSegments(List<byte[]> segments) {
    long sizeBytes = segments.stream().mapToLong(segment -> segment.length).sum();
    Assert.isTrue(sizeBytes <= Integer.MAX_VALUE, "body is too large");
    return sizeBytes == 0 ? EMPTY : new MessageBody(List.copyOf(segments), (int) sizeBytes);
  }

  /** Returns the size in bytes. */
  public int sizeBytes() {
    return sizeBytes;
  }

  /** Returns the segments in order. */
  public List<byte[]> segments() {
    return segments;
  }

  /**
   * Returns a copy of a part of the body.
   *
   * @param fromBytes position of the first byte
   * @param toBytes position after the last byte
   */
  public byte[] copyOfRange(int fromBytes, int toBytes) {
    Assert.isTrue(
        fromBytes >= 0 && fromBytes <= toBytes && toBytes <= sizeBytes, "range is out of bounds");
    byte[] copy = new byte[toBytes - fromBytes];
    int segmentStart = 0;
    for (byte[] segment : segments) {
      int from = Math.max(fromBytes, segmentStart);
      int to = Math.min(toBytes, segmentStart + segment.length);
      if (from < to) {
        System.arraycopy(segment, from - segmentStart, copy, from - fromBytes, to - from);
      }
      segmentStart += segment.length;
    }
    return copy;
  }

  /** Returns the bytes; for bodies whose size is known to be small. */
  public byte[] toByteArray() {
    return segments.size() == 1 ? segments.get(0) : copyOfRange(0, sizeBytes);
  }

  /** Adds the bytes to a digest. */
  public void update(MessageDigest digest) {
    segments.forEach(digest::update);
  }
}
