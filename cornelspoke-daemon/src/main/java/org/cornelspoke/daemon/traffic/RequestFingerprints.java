package org.cornelspoke.daemon.traffic;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import org.cornelspoke.model.RequestFingerprint;
import org.cornelspoke.protocol.call.CallHead;
import org.cornelspoke.protocol.call.MessageBody;

/** Computes the fingerprints of requests. Not thread-safe. */
final class RequestFingerprints {

  private static final byte SEPARATOR = 0;
  private static final int FINGERPRINT_BYTES = 16;

  private final MessageDigest sha256;

  RequestFingerprints() {
    try {
      sha256 = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available", e);
    }
  }

  /**
   * Returns a hash of everything in the fingerprint except the body, which allows most requests to
   * be told apart without reading their bodies.
   */
  long headHash(CallHead head) {
    return ByteBuffer.wrap(headDigest(head)).getLong();
  }

  /** Returns the fingerprint of a request. Takes time in proportion to the size of its body. */
  RequestFingerprint of(CallHead head, MessageBody body) {
    byte[] headDigest = headDigest(head);
    sha256.update(headDigest);
    body.update(sha256);
    byte[] digest = sha256.digest();
    return new RequestFingerprint(
        HexFormat.of().formatHex(Arrays.copyOf(digest, FINGERPRINT_BYTES)));
  }

  private byte[] headDigest(CallHead head) {
    update(head.method());
    update(head.requestTarget());
    update(head.account().value());
    String host = head.headers().get("host");
    update(host == null ? "" : host);
    return sha256.digest();
  }

  private void update(String text) {
    sha256.update(text.getBytes(ISO_8859_1));
    sha256.update(SEPARATOR);
  }
}
