package org.cornelspoke.state.log;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * Framing of a record: magic number, payload length, CRC32C checksum, payload. The checksum also
 * covers the file number and the offset of the record, so that a copy of a record inside command
 * data is not mistaken for a record.
 */
final class RecordFormat {

  static final int HEADER_BYTES = 12;

  private static final int MAGIC = 0x4353_4c52;

  private RecordFormat() {}

  static byte[] encode(long fileNumber, long offset, byte[] payload) {
    return ByteBuffer.allocate(HEADER_BYTES + payload.length)
        .putInt(MAGIC)
        .putInt(payload.length)
        .putInt(checksum(fileNumber, offset, payload, 0, payload.length))
        .put(payload)
        .array();
  }

  /** Returns the payload of the record at the offset, or null if no intact record starts there. */
  static byte[] decode(long fileNumber, byte[] file, int offset) {
    return decode(fileNumber, file, offset, offset);
  }

  /** Returns the payload of a record that was read from the file offset, or null if damaged. */
  static byte[] decodeAt(long fileNumber, byte[] record, long fileOffset) {
    return decode(fileNumber, record, 0, fileOffset);
  }

  private static byte[] decode(long fileNumber, byte[] file, int offset, long fileOffset) {
    if (file.length - offset < HEADER_BYTES) {
      return null;
    }
    ByteBuffer header = ByteBuffer.wrap(file, offset, HEADER_BYTES);
    if (header.getInt() != MAGIC) {
      return null;
    }
    int length = header.getInt();
    int start = offset + HEADER_BYTES;
    if (length < 0 || length > file.length - start) {
      return null;
    }
    if (header.getInt() != checksum(fileNumber, fileOffset, file, start, length)) {
      return null;
    }
    return Arrays.copyOfRange(file, start, start + length);
  }

  /** Returns true if an intact record starts anywhere after the offset. */
  static boolean hasRecordAfter(long fileNumber, byte[] file, int offset) {
    for (int i = offset + 1; i <= file.length - HEADER_BYTES; i++) {
      if (file[i] == (byte) (MAGIC >>> 24) && decode(fileNumber, file, i) != null) {
        return true;
      }
    }
    return false;
  }

  private static int checksum(long fileNumber, long offset, byte[] bytes, int start, int length) {
    CRC32C crc = new CRC32C();
    crc.update(ByteBuffer.allocate(16).putLong(fileNumber).putLong(offset).flip());
    crc.update(bytes, start, length);
    return (int) crc.getValue();
  }
}
