package org.cornelspoke.transport.http;

import static java.nio.charset.StandardCharsets.US_ASCII;

import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.model.Verdict;
import org.cornelspoke.protocol.call.Headers;
import org.cornelspoke.util.Assert;

/**
 * A response to a caller. The server adds {@code Content-Length} and {@code Connection}.
 *
 * @param headers without hop-by-hop headers
 * @param body the complete body; the array must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpResponse(int status, Headers headers, byte[] body) {

  private static final byte[] NO_BODY = new byte[0];
  private static final long MILLIS_PER_SECOND = 1_000;

  /** Checks that headers and body are not null. */
  public HttpResponse {
    Assert.notNull(headers, "headers");
    Assert.notNull(body, "body");
  }

  /** Returns a response without headers and body. */
  public static HttpResponse ofStatus(int status) {
    return new HttpResponse(status, Headers.EMPTY, NO_BODY);
  }

  /** Returns a plain text response. */
  public static HttpResponse ofText(int status, String text) {
    Headers headers = new Headers.Builder().add("Content-Type", "text/plain").build();
    return new HttpResponse(status, headers, text.getBytes(US_ASCII));
  }

  /**
   * Returns a response that the daemon generates itself instead of an upstream's response.
   *
   * @param retryAfterMillis time after which a retry may succeed, or a negative number to omit
   *     {@code Retry-After}; rounded up to whole seconds, at least 1
   */
  public static HttpResponse refusal(
      int status, RefusalReason reason, Verdict verdict, long retryAfterMillis) {
    Headers.Builder headers =
        new Headers.Builder()
            .add("Cornelspoke-Verdict", verdict.headerValue())
            .add("Cornelspoke-Reason", reason.code())
            .add("Content-Type", "application/json");
    if (retryAfterMillis >= 0) {
      long seconds = (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
      headers.add("Retry-After", Long.toString(Math.max(1, seconds)));
    }
    String body =
        "{\"reason\":\"" + reason.code() + "\",\"verdict\":\"" + verdict.headerValue() + "\"}\n";
    return new HttpResponse(status, headers.build(), body.getBytes(US_ASCII));
  }
}
