package org.cornelspoke.transport.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.util.Locale;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.protocol.call.Headers;

/** The message length and connection options that the headers of a message declare. */
final class Framing {

  private static final int MAX_LENGTH_DIGITS = 15;

  long contentLength = -1;
  boolean chunked;
  boolean close;
  boolean keepAlive;
  boolean expectsContinue;
  int hostCount;

  private boolean hasTransferEncoding;

  private Framing() {}

  /**
   * Reads the framing headers.
   *
   * @throws HttpSyntaxException if two of them contradict each other or one is malformed; servers
   *     interpret such messages differently, which allows request smuggling
   */
  static Framing of(Headers headers) throws HttpSyntaxException {
    Framing framing = new Framing();
    for (int line = 0; line < headers.size(); line++) {
      framing.read(headers, line);
    }
    if (framing.hasTransferEncoding && framing.contentLength >= 0) {
      throw HttpSyntaxException.malformed("both Content-Length and Transfer-Encoding are present");
    }
    return framing;
  }

  private void read(Headers headers, int line) throws HttpSyntaxException {
    if (headers.nameIs(line, "content-length")) {
      readContentLength(headers.value(line));
    } else if (headers.nameIs(line, "transfer-encoding")) {
      readTransferEncoding(headers.value(line));
    } else if (headers.nameIs(line, "connection")) {
      readConnection(headers.value(line));
    } else if (headers.nameIs(line, "host")) {
      hostCount++;
      checkHost(headers.value(line));
    } else if (headers.nameIs(line, "expect")) {
      if (!headers.value(line).equalsIgnoreCase("100-continue")) {
        throw HttpSyntaxException.malformed("unknown expectation");
      }
      expectsContinue = true;
    }
  }

  private void readContentLength(String value) throws HttpSyntaxException {
    boolean valid = !value.isEmpty() && value.length() <= MAX_LENGTH_DIGITS;
    for (int i = 0; i < value.length() && valid; i++) {
      valid = value.charAt(i) >= '0' && value.charAt(i) <= '9';
    }
    if (!valid) {
      throw HttpSyntaxException.malformed("Content-Length is not a number");
    }
    long length = Long.parseLong(value);
    if (contentLength >= 0 && contentLength != length) {
      throw HttpSyntaxException.malformed("Content-Length occurs with different values");
    }
    contentLength = length;
  }

  private void readTransferEncoding(String value) throws HttpSyntaxException {
    if (hasTransferEncoding || !value.equalsIgnoreCase("chunked")) {
      throw new HttpSyntaxException(RefusalReason.UNSUPPORTED, "unsupported transfer coding");
    }
    hasTransferEncoding = true;
    chunked = true;
  }

  private void readConnection(String value) {
    for (String option : value.toLowerCase(Locale.ROOT).split(",", -1)) {
      String name = option.strip();
      close |= name.equals("close");
      keepAlive |= name.equals("keep-alive");
    }
  }

  private static void checkHost(String value) throws HttpSyntaxException {
    for (byte b : value.getBytes(ISO_8859_1)) {
      if (b <= ' ' || b == '/' || b == '@' || b == ',' || b == '#' || b == '?') {
        throw HttpSyntaxException.malformed("Host is malformed");
      }
    }
  }
}
