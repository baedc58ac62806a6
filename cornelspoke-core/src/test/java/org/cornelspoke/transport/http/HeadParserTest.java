package org.cornelspoke.transport.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import io.activej.bytebuf.ByteBuf;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HeadParserTest {

  /** Guards against request smuggling and other input that servers interpret differently. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "GET / HTTP/1.1~Host: a~Content-Length: 1~Transfer-Encoding: chunked~~| 400",
        "GET / HTTP/1.1~Host: a~Content-Length: 1~Content-Length: 2~~| 400",
        "GET / HTTP/1.1~Host: a~Content-Length: 1, 2~~| 400",
        "GET / HTTP/1.1~Host: a~Content-Length: +1~~| 400",
        "GET / HTTP/1.1~Host: a~Content-Length:~~| 400",
        "GET / HTTP/1.1~Host: a~Content-Length: 9999999999999999~~| 400",
        "GET / HTTP/1.1~Host: a~Transfer-Encoding: gzip~~| 501",
        "GET / HTTP/1.1~Host: a~Transfer-Encoding: gzip, chunked~~| 501",
        "GET / HTTP/1.1~Host: a~Transfer-Encoding: chunked~Transfer-Encoding: chunked~~| 501",
        "GET / HTTP/1.0~Host: a~Transfer-Encoding: chunked~~| 400",
        "GET / HTTP/1.1~Host : a~~| 400",
        "GET / HTTP/1.1~Host: a~X: 1~ folded~~| 400",
        "GET / HTTP/1.1~ X: 1~Host: a~~| 400",
        "GET / HTTP/1.1~Host: a~No colon~~| 400",
        "GET / HTTP/1.1~~| 400",
        "GET / HTTP/1.1~Host: a~Host: a~~| 400",
        "GET / HTTP/1.1~Host: a/b~~| 400",
        "GET / HTTP/1.1~Host: a~X: %01~~| 400",
        "GET / HTTP/1.1~Host: a^~~| 400",
        "GET / HTTP/1.1^Host: a~~| 400",
        "GET / HTTP/1.1~Host: a~X: a%0db~~| 400",
        "~GET / HTTP/1.1~Host: a~~| 400",
        "GET  / HTTP/1.1~Host: a~~| 400",
        "GET / HTTP/1.1 ~Host: a~~| 400",
        "GET / HTTP/2.0~Host: a~~| 400",
        "GET /~Host: a~~| 400",
        "GET http://a/ HTTP/1.1~Host: a~~| 400",
        "GET /a/../b HTTP/1.1~Host: a~~| 400",
        "GET /a/%%2e%%2E/b HTTP/1.1~Host: a~~| 400",
        "GET /a%%2f..%%2fb HTTP/1.1~Host: a~~| 400",
        "GET /a%%zz HTTP/1.1~Host: a~~| 400",
        "GET /a#b HTTP/1.1~Host: a~~| 400",
        "GET /a%5cb HTTP/1.1~Host: a~~| 400",
        "get / HTTP/1.1~Host: a~~| 501",
        "CONNECT / HTTP/1.1~Host: a~~| 501",
        "GET / HTTP/1.1~Host: a~Expect: magic~~| 400"
      })
  void rejectsMalformedHeads(String text, int status) {
    HttpSyntaxException e = null;
    try {
      parse(expand(text));
    } catch (HttpSyntaxException thrown) {
      e = thrown;
    }
    assertWithMessage(text).that(e).isNotNull();
    assertThat(e.status()).isEqualTo(status);
  }

  /** Guards against checks that are so strict that valid requests are rejected. */
  @Test
  void acceptsValidHeads() throws Exception {
    RequestHead head =
        parse(
            expand(
                "POST /a/b..c/.d%%20?x=/../y HTTP/1.1~Host: [::1]:80~Content-Length: 3~"
                    + "Content-Length: 3~X-Empty:~Connection: Keep-Alive, x~~"));
    assertThat(head.path()).isEqualTo("/a/b..c/.d%20");
    assertThat(head.target()).isEqualTo("/a/b..c/.d%20?x=/../y");
    assertThat(head.contentLength()).isEqualTo(3);
    assertThat(head.keepAlive()).isTrue();
    assertThat(head.headers().get("x-empty")).isEmpty();
    assertThat(parse(expand("GET / HTTP/1.0~~")).keepAlive()).isFalse();
    assertThat(parse(expand("GET / HTTP/1.1~Host:~~")).keepAlive()).isTrue();
  }

  /** Guards against a head size limit that counts lines only or is off by one. */
  @Test
  void acceptsHeadsUpToSixteenKibibytes() throws Exception {
    String start = "GET / HTTP/1.1\r\nHost: a\r\nX: ";
    String largest = start + "x".repeat((16 << 10) - start.length() - 4) + "\r\n\r\n";
    assertThat(parse(largest).method()).isEqualTo("GET");
    for (String tooLarge :
        new String[] {largest.replace("X: ", "X: y"), start + "x".repeat(17 << 10)}) {
      HttpSyntaxException e = null;
      try {
        parse(tooLarge);
      } catch (HttpSyntaxException thrown) {
        e = thrown;
      }
      assertThat(e.status()).isEqualTo(431);
    }
  }

  /** Guards against chunked bodies whose result depends on how the stream is split into reads. */
  @Test
  void chunkedBodiesDoNotDependOnReadBoundaries() throws Exception {
    byte[] wire = "3\r\nabc\r\n5;ext=1\r\ndefgh\r\n0\r\nT: 1\r\n\r\nNEXT".getBytes(ISO_8859_1);
    for (int step = 1; step <= wire.length; step++) {
      BodyReader reader = BodyReader.chunked(8);
      ReadBuffer in = new ReadBuffer();
      for (int offset = 0; offset < wire.length; offset += step) {
        in.append(ByteBuf.wrap(wire, offset, Math.min(wire.length, offset + step)));
        boolean unused = reader.read(in);
      }
      assertThat(new String(reader.body().toByteArray(), ISO_8859_1)).isEqualTo("abcdefgh");
      assertThat(in.size()).isEqualTo(4);
    }
  }

  /** Guards against malformed or oversized chunked bodies. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "9~| 413",
        "5~abcde~5~| 413",
        "fffffffff~| 413",
        "x~| 400",
        "-1~| 400",
        "3^abc~| 400",
        "3~abcd~| 400",
        "3 ~abc~| 400",
        "0~a^~| 400"
      })
  void rejectsMalformedChunks(String text, int status) {
    ReadBuffer in = new ReadBuffer();
    in.append(ByteBuf.wrapForReading(expand(text).getBytes(ISO_8859_1)));
    HttpSyntaxException e = null;
    try {
      boolean unused = BodyReader.chunked(8).read(in);
    } catch (HttpSyntaxException thrown) {
      e = thrown;
    }
    assertWithMessage(text).that(e).isNotNull();
    assertThat(e.status()).isEqualTo(status);
  }

  private static RequestHead parse(String text) throws HttpSyntaxException {
    ReadBuffer in = new ReadBuffer();
    in.append(ByteBuf.wrapForReading(text.getBytes(ISO_8859_1)));
    int length = HeadParser.findEnd(in);
    return length < 0 ? null : HeadParser.parseRequest(in.array(), in.head(), length);
  }

  /** Expands the notation of the tables: ~ is CR LF, ^ a bare LF, %% a percent sign, %xx a byte. */
  private static String expand(String text) {
    return text.replace("~", "\r\n")
        .replace("^", "\n")
        .replace("%%", "\u0000")
        .replace("%01", "\u0001")
        .replace("%0d", "\r")
        .replace("%5c", "\\")
        .replace("\u0000", "%");
  }
}
