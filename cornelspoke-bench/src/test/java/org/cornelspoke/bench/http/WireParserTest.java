package org.cornelspoke.bench.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against messages that are split at the wrong byte, which would mix up answers. */
class WireParserTest {

  private static final String CHUNKED =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n";
  private static final String SIZED = "HTTP/1.1 503 No\r\nContent-Length: 4\r\nX-A: b\r\n\r\nwxyz";

  @Test
  void parsesTheSameMessagesWhateverTheSplit() throws WireException {
    byte[] stream = (CHUNKED + SIZED + CHUNKED).getBytes(StandardCharsets.ISO_8859_1);
    for (int step = 1; step <= stream.length; step++) {
      WireParser parser = WireParser.ofResponses();
      List<String> bodies = new ArrayList<>();
      for (int at = 0; at < stream.length; at += step) {
        parser.feed(stream, at, Math.min(step, stream.length - at));
        for (var next = parser.next(); next.isPresent(); next = parser.next()) {
          bodies.add(next.get().status() + next.get().bodyText());
        }
      }
      assertThat(bodies).containsExactly("200abcde", "503wxyz", "200abcde").inOrder();
      assertThat(parser.isIdle()).isTrue();
    }
  }

  @Test
  void endOfStreamCompletesOnlyAnAnswerWithoutLength() throws WireException {
    WireParser open = feed("HTTP/1.1 200 OK\r\n\r\nabc");
    assertThat(open.next().isPresent()).isFalse();
    assertThat(open.finish().orElseThrow().bodyText()).isEqualTo("abc");

    WireParser cut = feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
    assertThat(cut.next().isPresent()).isFalse();
    assertThat(cut.finish().isPresent()).isFalse();
    assertThat(cut.isIdle()).isFalse();
  }

  @Test
  void refusesWhatIsNotHttp() {
    assertThrows(WireException.class, () -> feed("abc\r\n\r\n").next());
    assertThrows(
        WireException.class, () -> feed("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n").next());
  }

  private static WireParser feed(String text) {
    WireParser parser = WireParser.ofResponses();
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    parser.feed(bytes, 0, bytes.length);
    return parser;
  }
}
