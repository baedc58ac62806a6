package org.cornelspoke.bench.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Response bodies that contain their request id, so that swapped or truncated ones are detected.
 */
public final class ResponseBody {

  private static final byte FILLER = 'x';

  private ResponseBody() {}

  /** Returns a body of at least the given size that starts with the id and a line feed. */
  public static byte[] create(String requestId, int sizeBytes) {
    byte[] id = (requestId + "\n").getBytes(StandardCharsets.UTF_8);
    byte[] body = Arrays.copyOf(id, Math.max(id.length, sizeBytes));
    Arrays.fill(body, id.length, body.length, FILLER);
    return body;
  }

  /** Returns the request id at the start of a body, or an empty string if there is none. */
  public static String requestIdOf(byte[] body) {
    for (int i = 0; i < body.length; i++) {
      if (body[i] == '\n') {
        return new String(body, 0, i, StandardCharsets.UTF_8);
      }
    }
    return "";
  }

  /** Returns true if the body equals the one that {@link #create} returns for its request id. */
  public static boolean isIntact(byte[] body, int sizeBytes) {
    return Arrays.equals(body, create(requestIdOf(body), sizeBytes));
  }

  /** Returns the bytes followed by the text in UTF-8. */
  public static byte[] concat(byte[] bytes, String text) {
    byte[] suffix = text.getBytes(StandardCharsets.UTF_8);
    byte[] result = Arrays.copyOf(bytes, bytes.length + suffix.length);
    System.arraycopy(suffix, 0, result, bytes.length, suffix.length);
    return result;
  }
}
