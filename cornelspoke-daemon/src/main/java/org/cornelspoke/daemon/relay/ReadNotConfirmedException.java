package org.cornelspoke.daemon.relay;

/** Thrown if a read is not confirmed to be current before its deadline. */
public final class ReadNotConfirmedException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates an exception with the last failure cause reported by the replicated log. */
  public ReadNotConfirmedException(String cause) {
    super("the control group did not confirm the read: " + cause);
  }
}
