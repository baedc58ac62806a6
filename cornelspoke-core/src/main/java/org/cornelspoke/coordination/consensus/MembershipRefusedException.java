package org.cornelspoke.coordination.consensus;

/** A membership change is not allowed at present. Nothing was appended. */
public final class MembershipRefusedException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates an exception; the message names the rule. */
  public MembershipRefusedException(String message) {
    super(message);
  }
}
