package org.cornelspoke.daemon.relay;

/** A read that could not be proved to be current in time. */
public final class ReadNotConfirmedException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates an exception with the last cause that the log gave. */
  public ReadNotConfirmedException(String cause) {
    super("the control group did not confirm the read: " + cause);
  }
}
