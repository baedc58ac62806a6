package org.cornelspoke.daemon.admin;

/** Thrown when the control group cannot serve a request, for example without a quorum. */
public final class BackendUnavailableException extends Exception {

  private static final long serialVersionUID = 1L;

  private final boolean outcomeUnknown;
  private final int retryAfterSeconds;

  /**
   * Creates the exception.
   *
   * @param cause description of the cause
   * @param outcomeUnknown true if the change may have been or may still be accepted, so that it
   *     must be resent with the same request id; false if it is certain that it never will be
   *     accepted
   * @param retryAfterSeconds delay before the next attempt
   */
  public BackendUnavailableException(String cause, boolean outcomeUnknown, int retryAfterSeconds) {
    super(cause);
    this.outcomeUnknown = outcomeUnknown;
    this.retryAfterSeconds = retryAfterSeconds;
  }

  /** Returns true if the change may have been or may still be accepted. */
  public boolean outcomeUnknown() {
    return outcomeUnknown;
  }

  /** Returns the delay before the next attempt. */
  public int retryAfterSeconds() {
    return retryAfterSeconds;
  }
}
