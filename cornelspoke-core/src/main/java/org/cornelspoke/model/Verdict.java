package org.cornelspoke.model;

/** Says whether a request may have run at an upstream. */
public enum Verdict {
  /**
   * No byte of the request reached an upstream, or the upstream declared that it did not run it.
   */
  NOT_RUN("not-run"),
  /** The request was handed to an upstream and its outcome is unknown. */
  MAY_HAVE_RUN("may-have-run"),
  /** The upstream returned a whole answer. */
  RAN("ran");

  private final String headerValue;

  Verdict(String headerValue) {
    this.headerValue = headerValue;
  }

  /** Returns the value of the {@code Cornelspoke-Verdict} header. */
  public String headerValue() {
    return headerValue;
  }

  /** Returns true if sending a request again can't run it twice. */
  public boolean allowsResendOfUnrepeatable() {
    return this == NOT_RUN;
  }
}
