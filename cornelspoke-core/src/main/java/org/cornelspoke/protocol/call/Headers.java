package org.cornelspoke.protocol.call;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.util.Arrays;
import org.cornelspoke.util.Assert;

/**
 * HTTP header lines in wire form, each {@code name: value} followed by CR LF. The bytes are
 * validated once on creation and then copied as a block, so that a header is only converted to a
 * string when it is read.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class Headers {

  /** No header lines. */
  public static final Headers EMPTY = new Headers(new byte[0], new int[0]);

  /** Maximum number of lines. */
  public static final int MAX_LINES = 256;

  private static final int OFFSETS_PER_LINE = 4;
  private static final boolean[] TOKEN_BYTES = tokenTable();

  private final byte[] block;

  /** Four offsets per line: start and end of the name, start and end of the trimmed value. */
  private final int[] index;

  private Headers(byte[] block, int[] index) {
    this.block = block;
    this.index = index;
  }

  /**
   * Validates header lines and copies them.
   *
   * @param buffer contains the lines without the empty line that ends them
   * @throws ProtocolException if a name is not a token, a line is folded or has no colon, a space
   *     precedes the colon, a value contains a control character, a line does not end with CR LF,
   *     or there are too many lines
   */
  public static Headers parse(byte[] buffer, int from, int to) throws ProtocolException {
    if (from == to) {
      return EMPTY;
    }
    byte[] block = Arrays.copyOfRange(buffer, from, to);
    int[] index = new int[OFFSETS_PER_LINE * 16];
    int used = 0;
    int position = 0;
    while (position < block.length) {
      if (used == index.length) {
        check(used < OFFSETS_PER_LINE * MAX_LINES, "too many header lines");
        index = Arrays.copyOf(index, used * 2);
      }
      position = parseLine(block, position, index, used);
      used += OFFSETS_PER_LINE;
    }
    return new Headers(block, Arrays.copyOf(index, used));
  }

  /** Returns true if the byte may occur in a method or header name. */
  public static boolean isTokenByte(byte b) {
    return b >= 0 && TOKEN_BYTES[b];
  }

  /** Returns the number of header lines. */
  public int size() {
    return index.length / OFFSETS_PER_LINE;
  }

  /** Returns the bytes of all lines. The array must not be modified. */
  public byte[] block() {
    return block;
  }

  /** Returns the name of a line in lower case. */
  public String name(int line) {
    byte[] lower =
        Arrays.copyOfRange(
            block, index[line * OFFSETS_PER_LINE], index[line * OFFSETS_PER_LINE + 1]);
    for (int i = 0; i < lower.length; i++) {
      lower[i] = toLowerCase(lower[i]);
    }
    return new String(lower, ISO_8859_1);
  }

  /** Returns the value of a line without surrounding white space. */
  public String value(int line) {
    int start = index[line * OFFSETS_PER_LINE + 2];
    return new String(block, start, index[line * OFFSETS_PER_LINE + 3] - start, ISO_8859_1);
  }

  /**
   * Returns true if the name of the line matches, ignoring case.
   *
   * @param lowerName the name in lower case
   */
  public boolean nameIs(int line, String lowerName) {
    int start = index[line * OFFSETS_PER_LINE];
    int length = index[line * OFFSETS_PER_LINE + 1] - start;
    if (length != lowerName.length()) {
      return false;
    }
    for (int i = 0; i < length; i++) {
      if (toLowerCase(block[start + i]) != lowerName.charAt(i)) {
        return false;
      }
    }
    return true;
  }

  /** Returns true if the name of the line starts with the lower-case prefix, ignoring case. */
  public boolean nameStartsWith(int line, String lowerPrefix) {
    int start = index[line * OFFSETS_PER_LINE];
    if (index[line * OFFSETS_PER_LINE + 1] - start < lowerPrefix.length()) {
      return false;
    }
    for (int i = 0; i < lowerPrefix.length(); i++) {
      if (toLowerCase(block[start + i]) != lowerPrefix.charAt(i)) {
        return false;
      }
    }
    return true;
  }

  /** Returns the index of the first line with the lower-case name, or -1. */
  public int find(String lowerName) {
    return find(lowerName, 0);
  }

  /**
   * Returns the index of the first line at or after a start line with the lower-case name, or -1.
   */
  public int find(String lowerName, int fromLine) {
    for (int line = fromLine; line < size(); line++) {
      if (nameIs(line, lowerName)) {
        return line;
      }
    }
    return -1;
  }

  /** Returns the value of the first line with the lower-case name, or null. */
  public String get(String lowerName) {
    int line = find(lowerName);
    return line < 0 ? null : value(line);
  }

  /** Returns the offset of a line in {@link #block}. */
  public int lineStart(int line) {
    return index[line * OFFSETS_PER_LINE];
  }

  /** Returns the offset after a line and its CR LF in {@link #block}. */
  public int lineEnd(int line) {
    return line + 1 < size() ? index[(line + 1) * OFFSETS_PER_LINE] : block.length;
  }

  @Override
  public String toString() {
    return "Headers[lines=" + size() + "]";
  }

  private static int parseLine(byte[] block, int start, int[] index, int indexStart)
      throws ProtocolException {
    int position = start;
    while (position < block.length && isTokenByte(block[position])) {
      position++;
    }
    check(position > start, "header line is folded or has no name");
    check(position < block.length && block[position] == ':', "header name is malformed");
    index[indexStart] = start;
    index[indexStart + 1] = position;
    position++;
    while (position < block.length && isBlank(block[position])) {
      position++;
    }
    int valueStart = position;
    while (position < block.length && isValueByte(block[position])) {
      position++;
    }
    check(
        position + 1 < block.length && block[position] == '\r' && block[position + 1] == '\n',
        "header value has a control character or does not end with CR LF");
    int valueEnd = position;
    while (valueEnd > valueStart && isBlank(block[valueEnd - 1])) {
      valueEnd--;
    }
    index[indexStart + 2] = valueStart;
    index[indexStart + 3] = valueEnd;
    return position + 2;
  }

  private static boolean isBlank(byte b) {
    return b == ' ' || b == '\t';
  }

  private static boolean isValueByte(byte b) {
    return b < 0 || b == '\t' || (b >= ' ' && b != 0x7f);
  }

  private static byte toLowerCase(byte b) {
    return b >= 'A' && b <= 'Z' ? (byte) (b + 32) : b;
  }

  private static void check(boolean condition, String message) throws ProtocolException {
    if (!condition) {
      throw new ProtocolException(message);
    }
  }

  private static boolean[] tokenTable() {
    boolean[] table = new boolean[128];
    for (char c = '0'; c <= '9'; c++) {
      table[c] = true;
    }
    for (char c = 'a'; c <= 'z'; c++) {
      table[c] = true;
      table[c - 32] = true;
    }
    for (char c : "!#$%&'*+-.^_`|~".toCharArray()) {
      table[c] = true;
    }
    return table;
  }

  /** Collects header lines. Not safe for use by several threads. */
  public static final class Builder {

    private byte[] bytes = new byte[512];
    private int size;

    /** Copies one line of other headers unchanged. */
    public Builder addLine(Headers source, int line) {
      int start = source.lineStart(line);
      return append(source.block, start, source.lineEnd(line) - start);
    }

    /**
     * Adds a line.
     *
     * @throws IllegalArgumentException if the value contains a line break
     */
    public Builder add(String name, String value) {
      Assert.isTrue(
          value.indexOf('\r') < 0 && value.indexOf('\n') < 0, "value must have no line break");
      byte[] line = (name + ": " + value + "\r\n").getBytes(ISO_8859_1);
      return append(line, 0, line.length);
    }

    /** Validates and returns the collected lines. */
    public Headers build() {
      try {
        return parse(bytes, 0, size);
      } catch (ProtocolException e) {
        throw new IllegalStateException("added header is malformed", e);
      }
    }

    private Builder append(byte[] source, int from, int length) {
      if (size + length > bytes.length) {
        bytes = Arrays.copyOf(bytes, Math.max(bytes.length * 2, size + length));
      }
      System.arraycopy(source, from, bytes, size, length);
      size += length;
      return this;
    }
  }
}
