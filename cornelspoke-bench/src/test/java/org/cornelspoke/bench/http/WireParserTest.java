package org.cornelspoke.bench.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against wrong message boundaries, which would assign responses to wrong requests. */
class WireParserTest {

  private static final String CHUNKED =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n";
  private static final String SIZED = "HTTP/1.1 503 No\r\nContent-Length: 4\r\nX-A: b\r\n\r\nwxyz";

  @Test
  void parsesTheSameMessagesForEveryChunkSize() throws WireException {
    byte[] stream = (CHUNKED + SIZED + CHUNKED).getBytes(StandardCharsets.ISO_8859_1);
    for (int chunkSize = 1; chunkSize <= stream.length; chunkSize++) {
      WireParser parser = WireParser.forResponses();
      List<String> bodies = new ArrayList<>();
      for (int offset = 0; offset < stream.length; offset += chunkSize) {
        parser.feed(stream, offset, Math.min(chunkSize, stream.length - offset));
        for (var next = parser.next(); next.isPresent(); next = parser.next()) {
          bodies.add(next.get().status() + next.get().bodyText());
        }
      }
      assertThat(bodies).containsExactly("200abcde", "503wxyz", "200abcde").inOrder();
      assertThat(parser.isIdle()).isTrue();
    }
  }

  @Test
  void endOfStreamCompletesOnlyAResponseWithoutLength() throws WireException {
    WireParser withoutLength = feed("HTTP/1.1 200 OK\r\n\r\nabc");
    assertThat(withoutLength.next().isPresent()).isFalse();
    assertThat(withoutLength.finish().orElseThrow().bodyText()).isEqualTo("abc");

    WireParser truncated = feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
    assertThat(truncated.next().isPresent()).isFalse();
    assertThat(truncated.finish().isPresent()).isFalse();
    assertThat(truncated.isIdle()).isFalse();
  }

  @Test
  void rejectsMalformedMessages() {
    assertThrows(WireException.class, () -> feed("abc\r\n\r\n").next());
    assertThrows(
        WireException.class, () -> feed("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n").next());
  }

  private static WireParser feed(String text) {
    WireParser parser = WireParser.forResponses();
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    parser.feed(bytes, 0, bytes.length);
    return parser;
  }
}
