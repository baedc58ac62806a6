package org.cornelspoke.transport.http;

import org.cornelspoke.protocol.call.Headers;

/**
 * A checked request head.
 *
 * @param target path and query
 * @param path the path alone; has no dot segments, also not in percent-encoded form
 * @param http11 false for HTTP/1.0
 * @param contentLength length of the body, 0 if there is none, -1 if it is chunked
 * @param keepAlive true if the caller wants to reuse the connection
 * @param expectsContinue true if the caller waits for 100 before it sends the body
 */
public record RequestHead(
    String method,
    String target,
    String path,
    boolean http11,
    Headers headers,
    long contentLength,
    boolean keepAlive,
    boolean expectsContinue) {

  /** Returns true if the body is chunked. */
  public boolean chunked() {
    return contentLength < 0;
  }
}
