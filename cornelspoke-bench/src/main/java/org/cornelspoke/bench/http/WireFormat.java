package org.cornelspoke.bench.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Writes HTTP/1.1 messages as bytes. */
public final class WireFormat {

  private WireFormat() {}

  /** Returns the bytes of a request. A {@code GET} with an empty body has no Content-Length. */
  public static byte[] request(
      String method, String path, String host, Map<String, String> headers, byte[] body) {
    StringBuilder head = new StringBuilder(256);
    head.append(method).append(' ').append(path).append(" HTTP/1.1\r\nHost: ").append(host);
    head.append("\r\n");
    append(head, headers);
    if (body.length > 0 || !method.equals("GET")) {
      head.append("Content-Length: ").append(body.length).append("\r\n");
    }
    return join(head, body);
  }

  /** Returns the bytes of a response with a Content-Length header. */
  public static byte[] response(int status, Map<String, String> headers, byte[] body) {
    StringBuilder head = new StringBuilder(256);
    head.append("HTTP/1.1 ").append(status).append(' ').append(reason(status)).append("\r\n");
    append(head, headers);
    head.append("Content-Length: ").append(body.length).append("\r\n");
    return join(head, body);
  }

  private static void append(StringBuilder head, Map<String, String> headers) {
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
  }

  private static byte[] join(StringBuilder head, byte[] body) {
    byte[] prefix = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    byte[] whole = new byte[prefix.length + body.length];
    System.arraycopy(prefix, 0, whole, 0, prefix.length);
    System.arraycopy(body, 0, whole, prefix.length, body.length);
    return whole;
  }

  private static String reason(int status) {
    return status < 400 ? "OK" : "Error";
  }
}
