package org.cornelspoke.transport.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufPool;
import org.cornelspoke.protocol.call.Headers;

/**
 * A request to an upstream.
 *
 * @param target path and query
 * @param headers forwarded request headers
 * @param extraHeaders further headers that the daemon adds, without {@code Content-Length}
 * @param body the whole body; the array must not be changed
 */
@SuppressWarnings("ArrayRecordComponent")
public record UpstreamRequest(
    String method, String target, Headers headers, Headers extraHeaders, byte[] body) {

  private static final byte[] VERSION = " HTTP/1.1\r\n".getBytes(ISO_8859_1);
  private static final byte[] LENGTH = "Content-Length: ".getBytes(ISO_8859_1);
  private static final byte[] LINE_END = "\r\n".getBytes(ISO_8859_1);
  private static final int RESERVE_BYTES = 64;

  ByteBuf encode() {
    byte[] line = (method + ' ' + target).getBytes(ISO_8859_1);
    byte[] block = headers.block();
    byte[] extra = extraHeaders.block();
    ByteBuf buf =
        ByteBufPool.allocate(
            RESERVE_BYTES + line.length + block.length + extra.length + body.length);
    buf.put(line);
    buf.put(VERSION);
    buf.put(block);
    buf.put(extra);
    if (body.length > 0 || !(method.equals("GET") || method.equals("HEAD"))) {
      buf.put(LENGTH);
      ResponseWriter.putNumber(buf, body.length);
      buf.put(LINE_END);
    }
    buf.put(LINE_END);
    buf.put(body);
    return buf;
  }
}
