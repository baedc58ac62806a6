package org.cornelspoke.transport.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufPool;
import org.cornelspoke.protocol.call.Headers;
import org.cornelspoke.protocol.call.MessageBody;

/**
 * A request to an upstream.
 *
 * @param target path and query
 * @param headers forwarded request headers
 * @param extraHeaders headers that the daemon adds, without {@code Content-Length}
 */
public record UpstreamRequest(
    String method, String target, Headers headers, Headers extraHeaders, MessageBody body) {

  private static final byte[] REQUEST_LINE_END = " HTTP/1.1\r\n".getBytes(ISO_8859_1);
  private static final byte[] CONTENT_LENGTH = "Content-Length: ".getBytes(ISO_8859_1);
  private static final byte[] CRLF = "\r\n".getBytes(ISO_8859_1);
  private static final int OVERHEAD_BYTES = 64;

  /** Returns the request line and the headers; the body follows them. */
  ByteBuf encodeHead() {
    byte[] line = (method + ' ' + target).getBytes(ISO_8859_1);
    byte[] block = headers.block();
    byte[] extra = extraHeaders.block();
    ByteBuf buf = ByteBufPool.allocate(OVERHEAD_BYTES + line.length + block.length + extra.length);
    buf.put(line);
    buf.put(REQUEST_LINE_END);
    buf.put(block);
    buf.put(extra);
    if (body.sizeBytes() > 0 || !(method.equals("GET") || method.equals("HEAD"))) {
      buf.put(CONTENT_LENGTH);
      ResponseWriter.putNumber(buf, body.sizeBytes());
      buf.put(CRLF);
    }
    buf.put(CRLF);
    return buf;
  }
}
