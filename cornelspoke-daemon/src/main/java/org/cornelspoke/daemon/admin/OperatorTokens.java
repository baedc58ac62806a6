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

  /** Returns SHA-256 of the token in lower-case hexadecimal. */
  public static String hashHex(String token) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(token.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  /**
   * Returns the operator with the token hash. Compares with every operator, so that the time taken
   * does not depend on which one matches.
   */
  public static Optional<OperatorId> find(Collection<Operator> operators, String tokenHashHex) {
    byte[] wanted = tokenHashHex.getBytes(StandardCharsets.UTF_8);
    OperatorId found = null;
    for (Operator operator : operators) {
      byte[] known = operator.tokenHashHex().getBytes(StandardCharsets.UTF_8);
      if (MessageDigest.isEqual(known, wanted)) {
        found = operator.id();
      }
    }
    return Optional.ofNullable(found);
  }
}
