package org.cornelspoke.transport.http;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.cornelspoke.protocol.call.Headers;

/** Selects the headers of a request or a response that are forwarded. */
public final class ForwardedHeaders {

  private static final String RESERVED_PREFIX = "cornelspoke-";

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

  /** Headers that are forwarded even if a caller names them in {@code Connection}. */
  private static final Set<String> NOT_REMOVABLE =
      Set.of("host", "idempotency-key", "content-type");

  private ForwardedHeaders() {}

  /**
   * Returns the request headers without hop-by-hop headers, framing headers, the client key and
   * headers that start with {@code Cornelspoke-}.
   */
  public static Headers ofRequest(Headers headers) {
    return copyRequest(headers, (lines, line) -> false).build();
  }

  /**
   * Like {@link #ofRequest}, but returns a builder to which further lines can be added.
   *
   * @param excluded matches further lines that are not forwarded
   */
  public static Headers.Builder copyRequest(Headers headers, HeaderLineFilter excluded) {
    Set<String> connectionOptions = connectionOptions(headers);
    Headers.Builder forwarded = new Headers.Builder();
    for (int line = 0; line < headers.size(); line++) {
      if (!isHopByHop(headers, line, connectionOptions)
          && !headers.nameIs(line, "content-length")
          && !headers.nameIs(line, "authorization")
          && !headers.nameIs(line, "expect")
          && !headers.nameStartsWith(line, RESERVED_PREFIX)
          && !excluded.matches(headers, line)) {
        forwarded.addLine(headers, line);
      }
    }
    return forwarded;
  }

  /** Matches header lines of a caller's request. */
  public interface HeaderLineFilter {

    /** Returns true if the line matches. */
    boolean matches(Headers headers, int line);
  }

  /**
   * Returns the response headers without hop-by-hop headers and without headers that start with
   * {@code Cornelspoke-}, which an upstream could otherwise forge.
   *
   * @param keepContentLength true for a bodyless response whose {@code Content-Length} describes
   *     the body that another method would get
   */
  static Headers ofResponse(Headers headers, boolean keepContentLength) {
    Set<String> connectionOptions = connectionOptions(headers);
    Headers.Builder forwarded = new Headers.Builder();
    for (int line = 0; line < headers.size(); line++) {
      if (!isHopByHop(headers, line, connectionOptions)
          && (keepContentLength || !headers.nameIs(line, "content-length"))
          && !headers.nameStartsWith(line, RESERVED_PREFIX)) {
        forwarded.addLine(headers, line);
      }
    }
    return forwarded.build();
  }

  private static boolean isHopByHop(Headers headers, int line, Set<String> connectionOptions) {
    for (String name : HOP_BY_HOP) {
      if (headers.nameIs(line, name)) {
        return true;
      }
    }
    return !connectionOptions.isEmpty() && connectionOptions.contains(headers.name(line));
  }

  private static Set<String> connectionOptions(Headers headers) {
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
      names.removeAll(NOT_REMOVABLE);
    }
    return names;
  }
}
