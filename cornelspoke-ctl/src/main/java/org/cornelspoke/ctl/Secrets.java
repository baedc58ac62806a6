package org.cornelspoke.ctl;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;

/**
 * Generates client keys and operator tokens. They are made here and only their hashes are sent, so
 * that no log, audit entry or stored answer of a daemon can hold one.
 */
final class Secrets {

  private static final String CLIENT_KEY_PREFIX = "csk_";
  private static final String OPERATOR_TOKEN_PREFIX = "cso_";
  private static final int SECRET_BYTES = 32;
  private static final int SUFFIX_BYTES = 4;

  private final SecureRandom random = new SecureRandom();

  String clientKey() {
    return CLIENT_KEY_PREFIX + secret();
  }

  String operatorToken() {
    return OPERATOR_TOKEN_PREFIX + secret();
  }

  /** Returns a short random text that makes the id of a key unique. It is not secret. */
  String idSuffix() {
    return HexFormat.of().formatHex(bytes(SUFFIX_BYTES));
  }

  static String hashHex(String secret) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(secret.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  private String secret() {
    return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes(SECRET_BYTES));
  }

  private byte[] bytes(int count) {
    byte[] bytes = new byte[count];
    random.nextBytes(bytes);
    return bytes;
  }
}
