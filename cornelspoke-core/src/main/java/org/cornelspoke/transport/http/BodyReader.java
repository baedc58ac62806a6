package org.cornelspoke.transport.http;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.protocol.call.MessageBody;

/** Reads one message body up to a size limit. */
final class BodyReader {

  private static final int INITIAL_BYTES = 64 << 10;

  /** Size from which on a body grows by further segments instead of copies of twice the size. */
  private static final int MAX_SEGMENT_BYTES = 1 << 20;

  private static final int MAX_CHUNK_LINE_BYTES = 256;
  private static final int MAX_SIZE_DIGITS = 7;
  private static final byte[] EMPTY_BODY = new byte[0];

  private enum State {
    DATA,
    CHUNK_SIZE,
    CHUNK_DATA_END,
    TRAILER,
    DONE
  }

  private final int maxBytes;
  private final boolean chunked;
  private final boolean untilClose;
  private State state;
  private final List<byte[]> fullSegments = new ArrayList<>();
  private byte[] segment;
  private int segmentSize;
  private int fullBytes;
  private int remaining;
  private int trailerBytes;

  private BodyReader(State state, int remaining, boolean untilClose, int maxBytes) {
    this.state = state;
    this.chunked = state == State.CHUNK_SIZE;
    this.untilClose = untilClose;
    this.remaining = remaining;
    this.maxBytes = maxBytes;
    // Does not allocate the whole length at once: a peer may announce a body and never send it.
    this.segment =
        remaining == 0 && !chunked && !untilClose ? EMPTY_BODY : new byte[initialSize(remaining)];
  }

  static BodyReader none() {
    return new BodyReader(State.DONE, 0, false, 0);
  }

  static BodyReader ofLength(long length, int maxBytes) throws HttpSyntaxException {
    if (length > maxBytes) {
      throw tooLarge();
    }
    return length == 0 ? none() : new BodyReader(State.DATA, (int) length, false, maxBytes);
  }

  static BodyReader chunked(int maxBytes) {
    return new BodyReader(State.CHUNK_SIZE, 0, false, maxBytes);
  }

  static BodyReader untilClose(int maxBytes) {
    return new BodyReader(State.DATA, 0, true, maxBytes);
  }

  /**
   * Consumes bytes of the buffer.
   *
   * @return true once the body is complete; bytes after it stay in the buffer
   */
  boolean read(ReadBuffer in) throws HttpSyntaxException {
    boolean progress = true;
    while (progress && state != State.DONE) {
      progress =
          switch (state) {
            case DATA -> readData(in);
            case CHUNK_SIZE -> readChunkSize(in);
            case CHUNK_DATA_END -> readChunkDataEnd(in);
            case TRAILER -> readTrailer(in);
            case DONE -> false;
          };
    }
    return state == State.DONE;
  }

  /** Returns true if the body is complete when the stream ends now. */
  boolean isCompleteAtEndOfStream() {
    return untilClose || state == State.DONE;
  }

  /** Returns true if the body has no length and ends when the connection is closed. */
  boolean isCloseDelimited() {
    return untilClose;
  }

  /** Returns the number of bytes allocated for the body so far. */
  int reservedBytes() {
    return fullBytes + segment.length;
  }

  /** Returns the bytes read so far. */
  MessageBody body() {
    byte[] last = segmentSize == segment.length ? segment : Arrays.copyOf(segment, segmentSize);
    if (fullSegments.isEmpty()) {
      return MessageBody.of(last);
    }
    List<byte[]> segments = new ArrayList<>(fullSegments);
    segments.add(last);
    return MessageBody.ofSegments(segments);
  }

  private int size() {
    return fullBytes + segmentSize;
  }

  private boolean readData(ReadBuffer in) throws HttpSyntaxException {
    int available = untilClose ? in.size() : Math.min(remaining, in.size());
    if (available == 0) {
      return false;
    }
    if (size() + available > maxBytes) {
      throw tooLarge();
    }
    if (segmentSize == segment.length) {
      addCapacity(available);
    }
    int count = Math.min(available, segment.length - segmentSize);
    System.arraycopy(in.array(), in.head(), segment, segmentSize, count);
    in.consume(count);
    segmentSize += count;
    remaining -= count;
    if (!untilClose && remaining == 0) {
      state = chunked ? State.CHUNK_DATA_END : State.DONE;
    }
    return true;
  }

  /**
   * Makes room after the last segment is full. The memory of a body never exceeds its size by more
   * than a segment, because copies of a large body would count several times.
   */
  private void addCapacity(int available) {
    int maxCapacity = chunked || untilClose ? maxBytes - fullBytes : segmentSize + remaining;
    if (segment.length >= MAX_SEGMENT_BYTES) {
      fullSegments.add(segment);
      fullBytes += segment.length;
      segment = new byte[Math.min(MAX_SEGMENT_BYTES, maxCapacity - segmentSize)];
      segmentSize = 0;
    } else {
      int newCapacity = Math.max(segmentSize + available, segment.length * 2);
      segment = Arrays.copyOf(segment, Math.min(newCapacity, maxCapacity));
    }
  }

  private boolean readChunkSize(ReadBuffer in) throws HttpSyntaxException {
    int length = lineLength(in, MAX_CHUNK_LINE_BYTES);
    if (length < 0) {
      return false;
    }
    int value = 0;
    int digits = 0;
    while (digits < length && Character.digit(in.array()[in.head() + digits], 16) >= 0) {
      value = value * 16 + Character.digit(in.array()[in.head() + digits], 16);
      digits++;
      if (digits > MAX_SIZE_DIGITS) {
        throw tooLarge();
      }
    }
    if (digits == 0 || (digits < length && in.array()[in.head() + digits] != ';')) {
      throw HttpSyntaxException.malformed("chunk size is malformed");
    }
    if (value > maxBytes - size()) {
      throw tooLarge();
    }
    in.consume(length + 2);
    remaining = value;
    state = value == 0 ? State.TRAILER : State.DATA;
    return true;
  }

  private boolean readChunkDataEnd(ReadBuffer in) throws HttpSyntaxException {
    int length = lineLength(in, 0);
    if (length < 0) {
      return false;
    }
    in.consume(2);
    state = State.CHUNK_SIZE;
    return true;
  }

  /** Discards trailers, because they would be forwarded as headers without any check. */
  private boolean readTrailer(ReadBuffer in) throws HttpSyntaxException {
    int length = lineLength(in, HeadParser.MAX_HEAD_BYTES - trailerBytes);
    if (length < 0) {
      return false;
    }
    trailerBytes += length + 2;
    in.consume(length + 2);
    if (length == 0) {
      state = State.DONE;
    }
    return true;
  }

  private static int lineLength(ReadBuffer in, int maxLength) throws HttpSyntaxException {
    byte[] bytes = in.array();
    for (int i = in.head(); i < in.tail(); i++) {
      if (bytes[i] == '\n' || bytes[i] == 0) {
        throw HttpSyntaxException.malformed("chunk line does not end with CR LF");
      }
      if (bytes[i] == '\r') {
        if (i + 1 == in.tail()) {
          return -1;
        }
        if (bytes[i + 1] != '\n') {
          throw HttpSyntaxException.malformed("CR without LF");
        }
        return i - in.head();
      }
      if (i - in.head() >= maxLength) {
        throw HttpSyntaxException.malformed("chunk line is too long or not empty");
      }
    }
    return -1;
  }

  private static int initialSize(int remaining) {
    return remaining == 0 ? 1_024 : Math.min(remaining, INITIAL_BYTES);
  }

  private static HttpSyntaxException tooLarge() {
    return new HttpSyntaxException(RefusalReason.TOO_LARGE, "message body is too large");
  }
}
