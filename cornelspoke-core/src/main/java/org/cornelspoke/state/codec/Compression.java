package org.cornelspoke.state.codec;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** Compresses byte arrays with DEFLATE (RFC 1951) in the ZLIB format (RFC 1950). Stateless. */
final class Compression {

  /** Limits the memory that a damaged message can claim. */
  private static final int MAX_PLAIN_BYTES = 64 << 20;

  private static final int BUFFER_BYTES = 64 << 10;

  private Compression() {}

  static byte[] compress(byte[] plain) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try {
      deflater.setInput(plain);
      deflater.finish();
      ByteArrayOutputStream out = new ByteArrayOutputStream(BUFFER_BYTES);
      byte[] buffer = new byte[BUFFER_BYTES];
      while (!deflater.finished()) {
        out.write(buffer, 0, deflater.deflate(buffer));
      }
      return out.toByteArray();
    } finally {
      deflater.end();
    }
  }

  /**
   * Restores the original bytes.
   *
   * @param plainBytes their number
   * @throws MalformedMessageException if the input does not contain exactly that many bytes
   */
  static byte[] decompress(byte[] compressed, int plainBytes) {
    if (plainBytes < 0 || plainBytes > MAX_PLAIN_BYTES) {
      throw new MalformedMessageException("size out of range: " + plainBytes);
    }
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(compressed);
      byte[] plain = new byte[plainBytes];
      int length = 0;
      int count = 1;
      while (length < plainBytes && count > 0) {
        count = inflater.inflate(plain, length, plainBytes - length);
        length += count;
      }
      if (length < plainBytes || inflater.inflate(new byte[1]) > 0 || !inflater.finished()) {
        throw new MalformedMessageException("compressed data has another size than stated");
      }
      return plain;
    } catch (DataFormatException e) {
      throw new MalformedMessageException("compressed data is damaged", e);
    } finally {
      inflater.end();
    }
  }
}
