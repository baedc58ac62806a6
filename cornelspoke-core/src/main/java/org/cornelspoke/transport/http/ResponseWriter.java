package org.cornelspoke.transport.http;

import static java.nio.charset.StandardCharsets.US_ASCII;

import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufPool;
import java.util.Map;

/** Writes responses into buffers. */
final class ResponseWriter {

  static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(US_ASCII);

  private static final byte[] LENGTH = "Content-Length: ".getBytes(US_ASCII);
  private static final byte[] CLOSE = "Connection: close\r\n".getBytes(US_ASCII);
  private static final byte[] KEEP_ALIVE = "Connection: keep-alive\r\n".getBytes(US_ASCII);
  private static final byte[] LINE_END = "\r\n".getBytes(US_ASCII);
  private static final byte[] STATUS_200 = "HTTP/1.1 200 OK\r\n".getBytes(US_ASCII);
  private static final int RESERVE_BYTES = 128;

  private static final Map<Integer, String> PHRASES =
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

  /** Returns the wire form. {@code close} and {@code keepAlive} add a connection header. */
  static ByteBuf write(HttpResponse response, boolean head, boolean close, boolean keepAlive) {
    boolean bodyless = head || response.status() == 204 || response.status() == 304;
    byte[] block = response.headers().block();
    byte[] body = response.body();
    ByteBuf buf = ByteBufPool.allocate(RESERVE_BYTES + block.length + body.length);
    buf.put(statusLine(response.status()));
    buf.put(block);
    if (!bodyless) {
      buf.put(LENGTH);
      putNumber(buf, body.length);
      buf.put(LINE_END);
    }
    if (close) {
      buf.put(CLOSE);
    } else if (keepAlive) {
      buf.put(KEEP_ALIVE);
    }
    buf.put(LINE_END);
    if (!bodyless) {
      buf.put(body);
    }
    return buf;
  }

  static void putNumber(ByteBuf buf, long number) {
    if (number >= 10) {
      putNumber(buf, number / 10);
    }
    buf.put((byte) ('0' + number % 10));
  }

  private static byte[] statusLine(int status) {
    if (status == 200) {
      return STATUS_200;
    }
    return ("HTTP/1.1 " + status + ' ' + PHRASES.getOrDefault(status, "") + "\r\n")
        .getBytes(US_ASCII);
  }
}
