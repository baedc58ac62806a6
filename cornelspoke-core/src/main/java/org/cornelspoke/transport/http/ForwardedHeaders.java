package org.cornelspoke.transport.http;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.cornelspoke.protocol.call.Headers;

/** Selects the headers that travel on with a request or an answer. */
public final class ForwardedHeaders {

  private static final String OWN_PREFIX = "cornelspoke-";

  private static final String[] HOP_BY_HOP = {
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade"
  };

  /** Headers that a caller must not remove by naming them in {@code Connection}. */
  private static final Set<String> KEPT = Set.of("host", "idempotency-key", "content-type");

  private ForwardedHeaders() {}

  /**
   * Returns the request headers without hop-by-hop headers, framing, the client key and the
   * product's own headers.
   */
  public static Headers ofRequest(Headers headers) {
    return copyRequest(headers, (lines, line) -> false).build();
  }

  /**
   * As {@link #ofRequest}, as lines to which others can be added.
   *
   * @param reserved tells further lines that don't travel on
   */
  public static Headers.Builder copyRequest(Headers headers, ReservedLines reserved) {
    Set<String> nominated = nominated(headers);
    Headers.Builder kept = new Headers.Builder();
    for (int line = 0; line < headers.size(); line++) {
      if (!isHopByHop(headers, line, nominated)
          && !headers.nameIs(line, "content-length")
          && !headers.nameIs(line, "authorization")
          && !headers.nameIs(line, "expect")
          && !headers.nameStartsWith(line, OWN_PREFIX)
          && !reserved.contains(headers, line)) {
        kept.addLine(headers, line);
      }
    }
    return kept;
  }

  /** Tells which header lines of a caller are not forwarded. */
  public interface ReservedLines {

    /** Returns true if the line stays behind. */
    boolean contains(Headers headers, int line);
  }

  /**
   * Returns the response headers without hop-by-hop headers and without the product's own headers,
   * which an upstream could otherwise forge.
   *
   * @param keepLength true for an answer without a body whose length header describes the body that
   *     another method would get
   */
  static Headers ofResponse(Headers headers, boolean keepLength) {
    Set<String> nominated = nominated(headers);
    Headers.Builder kept = new Headers.Builder();
    for (int line = 0; line < headers.size(); line++) {
      if (!isHopByHop(headers, line, nominated)
          && (keepLength || !headers.nameIs(line, "content-length"))
          && !headers.nameStartsWith(line, OWN_PREFIX)) {
        kept.addLine(headers, line);
      }
    }
    return kept.build();
  }

  private static boolean isHopByHop(Headers headers, int line, Set<String> nominated) {
    for (String name : HOP_BY_HOP) {
      if (headers.nameIs(line, name)) {
        return true;
      }
    }
    return !nominated.isEmpty() && nominated.contains(headers.name(line));
  }

  private static Set<String> nominated(Headers headers) {
    Set<String> names = Set.of();
    for (int line = headers.find("connection");
        line >= 0;
        line = headers.find("connection", line + 1)) {
      String value = headers.value(line).toLowerCase(Locale.ROOT);
      if (value.equals("keep-alive") || value.equals("close")) {
        continue;
      }
      names = names.isEmpty() ? new HashSet<>() : names;
      for (String option : value.split(",", -1)) {
        names.add(option.strip());
      }
    }
    if (!names.isEmpty()) {
      names.removeAll(KEPT);
    }
    return names;
  }
}
