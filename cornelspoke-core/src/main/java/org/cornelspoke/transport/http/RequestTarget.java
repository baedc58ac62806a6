package org.cornelspoke.transport.http;

/**
 * Validates request targets. Routes are matched by path prefix: a path that an upstream normalizes
 * to a different one could match a public route here and reach a resource that requires a client
 * key.
 */
final class RequestTarget {

  private RequestTarget() {}

  /**
   * Validates a target in origin form.
   *
   * @return the end index of the path (exclusive)
   */
  static int check(byte[] bytes, int from, int to) throws HttpSyntaxException {
    if (from == to || bytes[from] != '/') {
      throw HttpSyntaxException.malformed("request target must start with /");
    }
    int pathEnd = -1;
    for (int i = from; i < to; i++) {
      byte b = bytes[i];
      if (b <= ' ' || b == 0x7f || b == '#' || b == '\\') {
        throw HttpSyntaxException.malformed("request target has a forbidden character");
      }
      if (b == '?' && pathEnd < 0) {
        pathEnd = i;
      }
    }
    pathEnd = pathEnd < 0 ? to : pathEnd;
    checkSegments(bytes, from, pathEnd);
    return pathEnd;
  }

  private static void checkSegments(byte[] bytes, int from, int to) throws HttpSyntaxException {
    int segmentLength = 0;
    boolean onlyDots = true;
    int i = from + 1;
    while (i <= to) {
      int c = i == to ? '/' : bytes[i];
      i++;
      if (c == '%') {
        if (i + 1 >= to || hex(bytes[i]) < 0 || hex(bytes[i + 1]) < 0) {
          throw HttpSyntaxException.malformed("request target has a malformed escape");
        }
        c = hex(bytes[i]) * 16 + hex(bytes[i + 1]);
        i += 2;
        if (c == 0 || c == '\\') {
          throw HttpSyntaxException.malformed("request target has a forbidden character");
        }
      }
      if (c == '/') {
        if (onlyDots && (segmentLength == 1 || segmentLength == 2)) {
          throw HttpSyntaxException.malformed("request target has a dot segment");
        }
        segmentLength = 0;
        onlyDots = true;
      } else {
        segmentLength++;
        onlyDots &= c == '.';
      }
    }
  }

  private static int hex(byte b) {
    return Character.digit(b, 16);
  }
}
