package org.cornelspoke.bench.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Incremental parser that splits the bytes of one connection into HTTP/1.1 messages. Not
 * thread-safe.
 */
public final class WireParser {

  private static final int MAX_HEAD_BYTES = 64 << 10;
  private static final int INITIAL_BYTES = 4096;

  private final boolean parsesResponses;
  private byte[] buffer = new byte[INITIAL_BYTES];
  private int start;
  private int end;
  private String[] startLine;
  private Map<String, String> headers;

  private WireParser(boolean parsesResponses) {
    this.parsesResponses = parsesResponses;
  }

  /** Creates a parser of requests. */
  public static WireParser forRequests() {
    return new WireParser(false);
  }

  /** Creates a parser of responses. */
  public static WireParser forResponses() {
    return new WireParser(true);
  }

  /** Appends received bytes. */
  public void feed(byte[] bytes, int offset, int length) {
    if (end + length > buffer.length) {
      byte[] target = buffer;
      if (end - start + length > buffer.length) {
        target = new byte[Math.max(buffer.length * 2, end - start + length)];
      }
      System.arraycopy(buffer, start, target, 0, end - start);
      end -= start;
      start = 0;
      buffer = target;
    }
    System.arraycopy(bytes, offset, buffer, end, length);
    end += length;
  }

  /** Returns true if no bytes of an incomplete message are buffered. */
  public boolean isIdle() {
    return startLine == null && start == end;
  }

  /**
   * Returns the next complete message, or empty if more bytes are needed.
   *
   * @throws WireException if the bytes are not HTTP/1.1
   */
  public Optional<WireMessage> next() throws WireException {
    if (startLine == null && !readHead()) {
      return Optional.empty();
    }
    String transferCoding = headers.get("transfer-encoding");
    if (transferCoding != null) {
      return readChunked();
    }
    int length = contentLength();
    if (length < 0 || end - start < length) {
      return Optional.empty();
    }
    return Optional.of(takeMessage(length));
  }

  /**
   * Returns the response that is terminated by the end of the stream, or empty if none has been
   * started or its headers give a length or transfer coding.
   */
  public Optional<WireMessage> finish() throws WireException {
    if (startLine == null || headers.containsKey("transfer-encoding") || contentLength() >= 0) {
      return Optional.empty();
    }
    return Optional.of(takeMessage(end - start));
  }

  private boolean readHead() throws WireException {
    int headEnd = indexOfBlankLine();
    if (headEnd < 0) {
      if (end - start > MAX_HEAD_BYTES) {
        throw malformed("head is too large");
      }
      return false;
    }
    String head = new String(buffer, start, headEnd - start, StandardCharsets.ISO_8859_1);
    String[] lines = head.split("\r\n", -1);
    String[] startLineParts = lines[0].split(" ", 3);
    if (startLineParts.length < 2 || parsesResponses != startLineParts[0].startsWith("HTTP/")) {
      throw malformed("start line: " + lines[0]);
    }
    Map<String, String> parsedHeaders = new HashMap<>();
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      if (colon <= 0) {
        throw malformed("header: " + lines[i]);
      }
      parsedHeaders.put(
          lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
          lines[i].substring(colon + 1).trim());
    }
    startLine = startLineParts;
    headers = parsedHeaders;
    start = headEnd + 4;
    return true;
  }

  private int indexOfBlankLine() {
    for (int i = start; i + 3 < end; i++) {
      if (buffer[i] == '\r'
          && buffer[i + 1] == '\n'
          && buffer[i + 2] == '\r'
          && buffer[i + 3] == '\n') {
        return i;
      }
    }
    return -1;
  }

  /** Returns the length of the body, or -1 if the body extends to the end of the stream. */
  private int contentLength() throws WireException {
    if (parsesResponses && (startLine[1].equals("204") || startLine[1].equals("304"))) {
      return 0;
    }
    String length = headers.get("content-length");
    if (length == null) {
      return parsesResponses ? -1 : 0;
    }
    return parseLength(length, 10);
  }

  private Optional<WireMessage> readChunked() throws WireException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    int position = start;
    while (true) {
      int lineEnd = indexOfLineEnd(position);
      if (lineEnd < 0) {
        return Optional.empty();
      }
      String line = new String(buffer, position, lineEnd - position, StandardCharsets.ISO_8859_1);
      int extension = line.indexOf(';');
      int size = parseLength((extension < 0 ? line : line.substring(0, extension)).trim(), 16);
      position = lineEnd + 2;
      if (end - position < size + 2) {
        return Optional.empty();
      }
      body.write(buffer, position, size);
      position += size + 2;
      if (size == 0) {
        start = position;
        return Optional.of(completeMessage(body.toByteArray()));
      }
    }
  }

  private int indexOfLineEnd(int from) {
    for (int i = from; i + 1 < end; i++) {
      if (buffer[i] == '\r' && buffer[i + 1] == '\n') {
        return i;
      }
    }
    return -1;
  }

  private WireMessage takeMessage(int length) {
    byte[] body = Arrays.copyOfRange(buffer, start, start + length);
    start += length;
    return completeMessage(body);
  }

  private WireMessage completeMessage(byte[] body) {
    WireMessage message = new WireMessage(startLine, headers, body);
    startLine = null;
    headers = null;
    if (start == end) {
      start = 0;
      end = 0;
    }
    return message;
  }

  private static int parseLength(String text, int radix) throws WireException {
    try {
      int value = Integer.parseInt(text, radix);
      if (value >= 0) {
        return value;
      }
    } catch (NumberFormatException e) {
      throw malformed("length: " + text);
    }
    throw malformed("length: " + text);
  }

  private static WireException malformed(String what) {
    return new WireException(WireException.Kind.MALFORMED, "not HTTP/1.1: " + what);
  }
}
