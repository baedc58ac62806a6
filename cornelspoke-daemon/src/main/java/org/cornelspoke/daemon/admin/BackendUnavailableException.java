package org.cornelspoke.daemon.admin;

/** The control group can't answer now. */
public final class BackendUnavailableException extends Exception {

  private static final long serialVersionUID = 1L;

  private final boolean outcomeUnknown;
  private final int retryAfterSeconds;

  /**
   * Creates the exception.
   *
   * @param cause the cause in words
   * @param outcomeUnknown true if a change may still be accepted; it must be resent with the same
   *     request id. False if it was certainly not accepted and never will be
   * @param retryAfterSeconds when to try again
   */
  public BackendUnavailableException(String cause, boolean outcomeUnknown, int retryAfterSeconds) {
    super(cause);
    this.outcomeUnknown = outcomeUnknown;
    this.retryAfterSeconds = retryAfterSeconds;
  }

  /** Returns true if a change may still be accepted. */
  public boolean outcomeUnknown() {
    return outcomeUnknown;
  }

  /** Returns after how many seconds to try again. */
  public int retryAfterSeconds() {
    return retryAfterSeconds;
  }
}
