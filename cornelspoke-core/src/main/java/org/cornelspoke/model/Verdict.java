package org.cornelspoke.model;

/** Indicates whether a request has, or may have, run at an upstream. */
public enum Verdict {
  /**
   * No byte of the request reached an upstream, or the upstream reported that it did not run it.
   */
  NOT_RUN("not-run"),
  /** The request was sent to an upstream, and its outcome is unknown. */
  MAY_HAVE_RUN("may-have-run"),
  /** The upstream returned a complete response. */
  RAN("ran");

  private final String headerValue;

  Verdict(String headerValue) {
    this.headerValue = headerValue;
  }

  /** Returns the value of the {@code Cornelspoke-Verdict} header. */
  public String headerValue() {
    return headerValue;
  }

  /** Returns true if retrying the request cannot run it twice, even if it is not idempotent. */
  public boolean allowsNonIdempotentRetry() {
    return this == NOT_RUN;
  }
}
