package org.cornelspoke.bench.http;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** An HTTP request or response that was read from a connection. */
public final class WireMessage {

  private final String[] startLine;
  private final Map<String, String> headers;
  private final byte[] body;

  WireMessage(String[] startLine, Map<String, String> headers, byte[] body) {
    this.startLine = startLine;
    this.headers = headers;
    this.body = body;
  }

  /** Returns the method of a request. */
  public String method() {
    return startLine[0];
  }

  /** Returns the path of a request without its query. */
  public String path() {
    int query = startLine[1].indexOf('?');
    return query < 0 ? startLine[1] : startLine[1].substring(0, query);
  }

  /** Returns the status code of a response. */
  public int status() {
    return Integer.parseInt(startLine[1]);
  }

  /** Returns the value of a header; its name is case-insensitive. */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name.toLowerCase(Locale.ROOT)));
  }

  /** Returns the body as text. */
  public String bodyText() {
    return new String(body, StandardCharsets.UTF_8);
  }

  /** Returns the body; the caller must not change the array. */
  public byte[] body() {
    return body;
  }
}
