package org.cornelspoke.transport.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.util.HashMap;
import java.util.Map;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.protocol.call.Headers;
import org.cornelspoke.protocol.call.ProtocolException;

/**
 * Parses message heads. Accepts only syntax that every HTTP/1.1 implementation interprets in the
 * same way: no bare line feed, no folded header, no white space before a colon.
 */
final class HeadParser {

  /** Largest head in bytes, including the empty line. */
  static final int MAX_HEAD_BYTES = 16 << 10;

  private static final int MAX_METHOD_LENGTH = 16;
  private static final Map<String, String> METHODS = knownMethods();

  private HeadParser() {}

  /**
   * Finds the end of a head.
   *
   * @return the length of the head including its empty line, or -1 if more bytes are needed
   */
  static int findEnd(ReadBuffer in) throws HttpSyntaxException {
    byte[] bytes = in.array();
    int limit = Math.min(in.tail(), in.head() + MAX_HEAD_BYTES);
    for (int i = in.head(); i < limit; i++) {
      byte b = bytes[i];
      if (b == '\n') {
        throw HttpSyntaxException.malformed("line does not end with CR LF");
      }
      if (b == 0) {
        throw HttpSyntaxException.malformed("head has a NUL byte");
      }
      if (b == '\r') {
        if (i + 1 >= in.tail()) {
          return -1;
        }
        if (bytes[i + 1] != '\n') {
          throw HttpSyntaxException.malformed("CR without LF");
        }
        if (i == in.head()) {
          throw HttpSyntaxException.malformed("message starts with an empty line");
        }
        i++;
        if (i + 2 < in.tail() && bytes[i + 1] == '\r' && bytes[i + 2] == '\n') {
          int length = i + 3 - in.head();
          if (length > MAX_HEAD_BYTES) {
            throw HttpSyntaxException.headTooLarge();
          }
          return length;
        }
      }
    }
    if (in.size() >= MAX_HEAD_BYTES) {
      throw HttpSyntaxException.headTooLarge();
    }
    return -1;
  }

  /** Parses a request head whose length {@link #findEnd} has returned. */
  static RequestHead parseRequest(byte[] bytes, int from, int length) throws HttpSyntaxException {
    int lineEnd = findLineEnd(bytes, from);
    int methodEnd = from;
    while (methodEnd < lineEnd && Headers.isTokenByte(bytes[methodEnd])) {
      methodEnd++;
    }
    check(methodEnd > from && bytes[methodEnd] == ' ', "request line has no method");
    int targetStart = methodEnd + 1;
    int targetEnd = targetStart;
    while (targetEnd < lineEnd && bytes[targetEnd] != ' ') {
      targetEnd++;
    }
    boolean http11 = parseVersion(bytes, targetEnd, lineEnd);
    String method = parseMethod(bytes, from, methodEnd);
    int pathEnd = RequestTarget.check(bytes, targetStart, targetEnd);
    String target = new String(bytes, targetStart, targetEnd - targetStart, ISO_8859_1);
    Headers headers = parseHeaders(bytes, lineEnd + 2, from + length - 2);
    Framing framing = Framing.of(headers);
    check(
        framing.hostCount == 1 || (framing.hostCount == 0 && !http11),
        "Host must be present exactly once");
    check(http11 || !framing.chunked, "Transfer-Encoding needs HTTP/1.1");
    boolean keepAlive = http11 ? !framing.close : framing.keepAlive && !framing.close;
    long contentLength = framing.chunked ? -1 : Math.max(0, framing.contentLength);
    return new RequestHead(
        method,
        target,
        pathEnd == targetEnd ? target : target.substring(0, pathEnd - targetStart),
        http11,
        headers,
        contentLength,
        keepAlive,
        framing.expectsContinue && http11 && contentLength != 0);
  }

  /** Parses a response head whose length {@link #findEnd} has returned. */
  static ResponseHead parseResponse(byte[] bytes, int from, int length) throws HttpSyntaxException {
    int lineEnd = findLineEnd(bytes, from);
    // "HTTP/1.x NNN" has 12 bytes; the reason phrase after it is optional.
    check(lineEnd - from >= 12, "status line is too short");
    boolean http11 = parseVersion(bytes, from - 1, from + 8);
    check(bytes[from + 8] == ' ', "status line has no status");
    int status = 0;
    for (int i = from + 9; i < from + 12; i++) {
      check(isDigit(bytes[i]), "status is not a number");
      status = status * 10 + bytes[i] - '0';
    }
    check(status >= 100, "status is below 100");
    check(lineEnd - from == 12 || bytes[from + 12] == ' ', "status has more than three digits");
    // A cut head would lend its status and headers to the head after it.
    check(!containsStatusLine(bytes, from + 12, from + length), "head contains another head");
    Headers headers = parseHeaders(bytes, lineEnd + 2, from + length - 2);
    Framing framing = Framing.of(headers);
    boolean keepAlive = http11 ? !framing.close : framing.keepAlive && !framing.close;
    return new ResponseHead(status, headers, framing.contentLength, framing.chunked, keepAlive);
  }

  /** Returns true if the bytes contain {@code HTTP/1.x NNN}. */
  private static boolean containsStatusLine(byte[] bytes, int from, int to) {
    for (int i = from; i + 12 <= to; i++) {
      if (bytes[i] == 'H'
          && bytes[i + 1] == 'T'
          && bytes[i + 2] == 'T'
          && bytes[i + 3] == 'P'
          && bytes[i + 4] == '/'
          && bytes[i + 5] == '1'
          && bytes[i + 6] == '.'
          && bytes[i + 8] == ' '
          && isDigit(bytes[i + 9])
          && isDigit(bytes[i + 10])
          && isDigit(bytes[i + 11])) {
        return true;
      }
    }
    return false;
  }

  private static boolean isDigit(byte b) {
    return b >= '0' && b <= '9';
  }

  private static boolean parseVersion(byte[] bytes, int space, int end) throws HttpSyntaxException {
    int start = space + 1;
    check(
        end - start == 8
            && bytes[start] == 'H'
            && bytes[start + 1] == 'T'
            && bytes[start + 2] == 'T'
            && bytes[start + 3] == 'P'
            && bytes[start + 4] == '/'
            && bytes[start + 5] == '1'
            && bytes[start + 6] == '.'
            && (bytes[start + 7] == '1' || bytes[start + 7] == '0'),
        "version is not HTTP/1.1 or HTTP/1.0");
    return bytes[start + 7] == '1';
  }

  private static String parseMethod(byte[] bytes, int from, int to) throws HttpSyntaxException {
    String name = new String(bytes, from, to - from, ISO_8859_1);
    String known = METHODS.get(name);
    if (known != null) {
      return known;
    }
    boolean upperCase = name.length() <= MAX_METHOD_LENGTH;
    for (int i = 0; i < name.length() && upperCase; i++) {
      upperCase = name.charAt(i) >= 'A' && name.charAt(i) <= 'Z';
    }
    if (!upperCase || name.equals("CONNECT") || name.equals("TRACE")) {
      throw new HttpSyntaxException(RefusalReason.UNSUPPORTED, "unsupported method");
    }
    return name;
  }

  private static Headers parseHeaders(byte[] bytes, int from, int to) throws HttpSyntaxException {
    try {
      return Headers.parse(bytes, from, to);
    } catch (ProtocolException e) {
      throw HttpSyntaxException.malformed(e.getMessage());
    }
  }

  private static int findLineEnd(byte[] bytes, int from) {
    int end = from;
    while (bytes[end] != '\r') {
      end++;
    }
    return end;
  }

  private static void check(boolean condition, String message) throws HttpSyntaxException {
    if (!condition) {
      throw HttpSyntaxException.malformed(message);
    }
  }

  private static Map<String, String> knownMethods() {
    Map<String, String> methods = new HashMap<>();
    for (String name : new String[] {"GET", "POST", "PUT", "DELETE", "HEAD", "PATCH", "OPTIONS"}) {
      methods.put(name, name);
    }
    return Map.copyOf(methods);
  }
}
