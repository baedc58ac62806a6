package org.cornelspoke.daemon.traffic;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.cornelspoke.protocol.call.MessageBody;

/** Computes SHA-256 digests in hexadecimal. Not thread-safe. */
final class Digests {

  private static final byte SEPARATOR = 0;

  private final MessageDigest sha256;

  Digests() {
    try {
      sha256 = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available", e);
    }
  }

  /** Returns the digest of a text. */
  String of(String text) {
    return hex(sha256.digest(text.getBytes(ISO_8859_1)));
  }

  /**
   * Returns the digest of several texts and a body, separated so that different splits of the same
   * characters have different digests.
   */
  String of(MessageBody body, String... texts) {
    for (String text : texts) {
      sha256.update(text.getBytes(ISO_8859_1));
      sha256.update(SEPARATOR);
    }
    body.update(sha256);
    return hex(sha256.digest());
  }

  private static String hex(byte[] bytes) {
    return HexFormat.of().formatHex(bytes);
  }
}
