package org.cornelspoke.transport.http;

import org.cornelspoke.protocol.call.Headers;

/**
 * A parsed and validated request head.
 *
 * @param target path and query
 * @param path the path without the query; contains no dot segments, not even percent-encoded ones
 * @param http11 false for HTTP/1.0
 * @param contentLength length of the body, 0 if there is no body, -1 if the body is chunked
 * @param keepAlive true if the caller wants to reuse the connection
 * @param expectsContinue true if the caller waits for status 100 before it sends the body
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
