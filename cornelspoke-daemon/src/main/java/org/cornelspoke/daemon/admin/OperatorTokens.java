package org.cornelspoke.daemon.admin;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import java.util.HexFormat;
import java.util.Optional;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.state.config.Operator;

/** Hashes operator tokens and compares the hashes in constant time. */
public final class OperatorTokens {

  private OperatorTokens() {}

  /** Returns the SHA-256 hash of the token in lower-case hexadecimal. */
  public static String hashHex(String token) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(token.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is required on every Java platform", e);
    }
  }

  /**
   * Returns the operator with the given token hash. The hash is compared with those of all
   * operators, so that the duration does not reveal which one matches.
   */
  public static Optional<OperatorId> find(Collection<Operator> operators, String tokenHashHex) {
    byte[] expectedHash = tokenHashHex.getBytes(StandardCharsets.UTF_8);
    OperatorId found = null;
    for (Operator operator : operators) {
      byte[] operatorHash = operator.tokenHashHex().getBytes(StandardCharsets.UTF_8);
      if (MessageDigest.isEqual(operatorHash, expectedHash)) {
        found = operator.id();
      }
    }
    return Optional.ofNullable(found);
  }
}
