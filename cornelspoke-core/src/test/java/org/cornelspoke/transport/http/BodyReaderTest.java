package org.cornelspoke.transport.http;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.US_ASCII;

import io.activej.bytebuf.ByteBuf;
import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;

class BodyReaderTest {

  private static final int MAX_BYTES = 8 << 20;
  private static final int SEGMENT_BYTES = 1 << 20;

  private final Random random = new Random(5);

  /**
   * Guards against a body without end whose buffer is copied to one of twice the size, which needs
   * three times the memory that is accounted for.
   */
  @Test
  void memoryExceedsTheBodyByOneSegmentAtMost() throws Exception {
    BodyReader reader = BodyReader.untilClose(MAX_BYTES);
    int sentBytes = 0;
    while (sentBytes < 5 * SEGMENT_BYTES) {
      byte[] part = randomBytes(16_000);
      feed(reader, part);
      sentBytes += part.length;
      assertThat(reader.reservedBytes()).isAtMost(sentBytes + SEGMENT_BYTES);
    }
  }

  /** Guards against bodies that are put together wrongly from several segments. */
  @Test
  void bodiesOfAllFramingsAreReadCompletely() throws Exception {
    for (int length : new int[] {1, 1_024, 65_537, SEGMENT_BYTES, 3 * SEGMENT_BYTES + 17}) {
      byte[] body = randomBytes(length);
      BodyReader sized = BodyReader.ofLength(length, MAX_BYTES);
      BodyReader chunked = BodyReader.chunked(MAX_BYTES);
      BodyReader untilClose = BodyReader.untilClose(MAX_BYTES);
      for (int from = 0; from < length; ) {
        byte[] part =
            Arrays.copyOfRange(body, from, Math.min(length, from + 1 + random.nextInt(70_000)));
        feed(sized, part);
        feed(untilClose, part);
        feed(chunked, (Integer.toHexString(part.length) + "\r\n").getBytes(US_ASCII));
        feed(chunked, part);
        feed(chunked, "\r\n".getBytes(US_ASCII));
        from += part.length;
      }
      assertThat(feed(chunked, "0\r\n\r\n".getBytes(US_ASCII))).isTrue();
      assertThat(sized.isCompleteAtEndOfStream()).isTrue();
      assertThat(Arrays.equals(sized.body().toByteArray(), body)).isTrue();
      assertThat(Arrays.equals(chunked.body().toByteArray(), body)).isTrue();
      assertThat(Arrays.equals(untilClose.body().toByteArray(), body)).isTrue();
    }
  }

  private static boolean feed(BodyReader reader, byte[] bytes) throws HttpSyntaxException {
    ReadBuffer in = new ReadBuffer();
    in.append(ByteBuf.wrapForReading(bytes.clone()));
    return reader.read(in);
  }

  private byte[] randomBytes(int length) {
    byte[] bytes = new byte[length];
    random.nextBytes(bytes);
    return bytes;
  }
}
