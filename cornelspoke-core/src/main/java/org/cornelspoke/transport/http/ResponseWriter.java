package org.cornelspoke.transport.http;

import static java.nio.charset.StandardCharsets.US_ASCII;

import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufPool;
import java.util.Map;
import org.cornelspoke.protocol.call.MessageBody;

/** Encodes responses. */
final class ResponseWriter {

  static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(US_ASCII);

  private static final byte[] CONTENT_LENGTH = "Content-Length: ".getBytes(US_ASCII);
  private static final byte[] CONNECTION_CLOSE = "Connection: close\r\n".getBytes(US_ASCII);
  private static final byte[] CONNECTION_KEEP_ALIVE =
      "Connection: keep-alive\r\n".getBytes(US_ASCII);
  private static final byte[] CRLF = "\r\n".getBytes(US_ASCII);
  private static final byte[] STATUS_LINE_200 = "HTTP/1.1 200 OK\r\n".getBytes(US_ASCII);
  private static final int OVERHEAD_BYTES = 128;

  private static final Map<Integer, String> REASON_PHRASES =
      Map.ofEntries(
          Map.entry(201, "Created"),
          Map.entry(202, "Accepted"),
          Map.entry(204, "No Content"),
          Map.entry(301, "Moved Permanently"),
          Map.entry(302, "Found"),
          Map.entry(304, "Not Modified"),
          Map.entry(400, "Bad Request"),
          Map.entry(401, "Unauthorized"),
          Map.entry(404, "Not Found"),
          Map.entry(405, "Method Not Allowed"),
          Map.entry(409, "Conflict"),
          Map.entry(413, "Content Too Large"),
          Map.entry(422, "Unprocessable Content"),
          Map.entry(429, "Too Many Requests"),
          Map.entry(431, "Request Header Fields Too Large"),
          Map.entry(500, "Internal Server Error"),
          Map.entry(501, "Not Implemented"),
          Map.entry(502, "Bad Gateway"),
          Map.entry(503, "Service Unavailable"),
          Map.entry(504, "Gateway Timeout"));

  private ResponseWriter() {}

  /** Returns the body that is sent with a response. */
  static MessageBody body(HttpResponse response, boolean headRequest) {
    return isBodyless(response, headRequest) ? MessageBody.EMPTY : MessageBody.of(response.body());
  }

  /**
   * Encodes the status line and the headers of a response. {@code close} and {@code keepAlive} add
   * a {@code Connection} header.
   */
  static ByteBuf writeHead(
      HttpResponse response, boolean headRequest, boolean close, boolean keepAlive) {
    boolean bodyless = isBodyless(response, headRequest);
    byte[] block = response.headers().block();
    byte[] body = response.body();
    ByteBuf buf = ByteBufPool.allocate(OVERHEAD_BYTES + block.length);
    buf.put(statusLine(response.status()));
    buf.put(block);
    if (!bodyless) {
      buf.put(CONTENT_LENGTH);
      putNumber(buf, body.length);
      buf.put(CRLF);
    }
    if (close) {
      buf.put(CONNECTION_CLOSE);
    } else if (keepAlive) {
      buf.put(CONNECTION_KEEP_ALIVE);
    }
    buf.put(CRLF);
    return buf;
  }

  private static boolean isBodyless(HttpResponse response, boolean headRequest) {
    return headRequest || response.status() == 204 || response.status() == 304;
  }

  static void putNumber(ByteBuf buf, long number) {
    if (number >= 10) {
      putNumber(buf, number / 10);
    }
    buf.put((byte) ('0' + number % 10));
  }

  private static byte[] statusLine(int status) {
    if (status == 200) {
      return STATUS_LINE_200;
    }
    return ("HTTP/1.1 " + status + ' ' + REASON_PHRASES.getOrDefault(status, "") + "\r\n")
        .getBytes(US_ASCII);
  }
}
