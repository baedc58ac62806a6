package org.cornelspoke.state.claim;

import java.util.Map;
import org.cornelspoke.util.Assert;

/**
 * The answer of a claimed request, kept so that a resend gets the same one.
 *
 * @param status HTTP status
 * @param headers end-to-end response headers, names in lower case
 * @param body the whole body; the array must not be changed
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredAnswer(int status, Map<String, String> headers, byte[] body) {

  /** Largest body in bytes that is kept. */
  public static final int MAX_BODY_BYTES = 8_192;

  /** Checks the size of the body. */
  public StoredAnswer {
    headers = Map.copyOf(headers);
    Assert.notNull(body, "body");
    Assert.isTrue(body.length <= MAX_BODY_BYTES, "body must be at most 8192 bytes");
  }
}
