package org.cornelspoke.bench.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Answer bodies that name their request, so that a mixed-up or shortened one is noticed. */
public final class AnswerBody {

  private static final byte FILL = 'x';

  private AnswerBody() {}

  /** Returns a body of at least the given size that starts with the id and a line feed. */
  public static byte[] create(String requestId, int sizeBytes) {
    byte[] id = (requestId + "\n").getBytes(StandardCharsets.UTF_8);
    byte[] body = Arrays.copyOf(id, Math.max(id.length, sizeBytes));
    Arrays.fill(body, id.length, body.length, FILL);
    return body;
  }

  /** Returns the id that a body starts with, or an empty text. */
  public static String requestIdOf(byte[] body) {
    for (int i = 0; i < body.length; i++) {
      if (body[i] == '\n') {
        return new String(body, 0, i, StandardCharsets.UTF_8);
      }
    }
    return "";
  }

  /** Returns true if every byte after the id is as {@link #create} made it. */
  public static boolean isIntact(byte[] body, int sizeBytes) {
    return Arrays.equals(body, create(requestIdOf(body), sizeBytes));
  }

  /** Returns the bytes followed by the text. */
  public static byte[] concat(byte[] bytes, String text) {
    byte[] more = text.getBytes(StandardCharsets.UTF_8);
    byte[] both = Arrays.copyOf(bytes, bytes.length + more.length);
    System.arraycopy(more, 0, both, bytes.length, more.length);
    return both;
  }
}
