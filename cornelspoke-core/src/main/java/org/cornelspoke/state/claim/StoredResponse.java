package org.cornelspoke.state.claim;

import java.util.Map;
import org.cornelspoke.util.Assert;

/**
 * Response of a claimed request, stored so that a retry of the request receives the same response.
 *
 * @param status HTTP status code
 * @param headers end-to-end response headers, names in lower case
 * @param body the complete body; the array must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredResponse(int status, Map<String, String> headers, byte[] body) {

  /** Maximum size in bytes of a body that is stored. */
  public static final int MAX_BODY_BYTES = 8_192;

  /** Checks the size of the body. */
  public StoredResponse {
    headers = Map.copyOf(headers);
    Assert.notNull(body, "body");
    Assert.isTrue(body.length <= MAX_BODY_BYTES, "body must be at most 8192 bytes");
  }
}
