package org.cornelspoke.coordination.consensus;

/** Thrown when a membership change is not allowed now; nothing was appended. */
public final class MembershipRefusedException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates an exception whose message states the violated rule. */
  public MembershipRefusedException(String message) {
    super(message);
  }
}
