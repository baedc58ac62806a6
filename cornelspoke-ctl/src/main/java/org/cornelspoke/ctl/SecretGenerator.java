package org.cornelspoke.ctl;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;

/**
 * Generates client keys and operator tokens. Only their hashes are sent, so that no log, audit
 * entry or stored response of a daemon can contain a secret.
 */
final class SecretGenerator {

  private static final String CLIENT_KEY_PREFIX = "csk_";
  private static final String OPERATOR_TOKEN_PREFIX = "cso_";
  private static final int SECRET_BYTES = 32;
  private static final int SUFFIX_BYTES = 4;

  private final SecureRandom random = new SecureRandom();

  String generateClientKey() {
    return CLIENT_KEY_PREFIX + generateSecret();
  }

  String generateOperatorToken() {
    return OPERATOR_TOKEN_PREFIX + generateSecret();
  }

  /** Returns a short random suffix that makes a key id unique. It is not a secret. */
  String generateIdSuffix() {
    return HexFormat.of().formatHex(randomBytes(SUFFIX_BYTES));
  }

  static String sha256Hex(String secret) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(secret.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  private String generateSecret() {
    return Base64.getUrlEncoder().withoutPadding().encodeToString(randomBytes(SECRET_BYTES));
  }

  private byte[] randomBytes(int count) {
    byte[] bytes = new byte[count];
    random.nextBytes(bytes);
    return bytes;
  }
}
