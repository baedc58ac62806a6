package org.cornelspoke.state.codec;

/** Bytes that are not a message of the expected type. */
public final class MalformedMessageException extends IllegalArgumentException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception that names the broken rule. */
  public MalformedMessageException(String rule) {
    super(rule);
  }

  /** Creates an exception that names the broken rule and its cause. */
  public MalformedMessageException(String rule, Throwable cause) {
    super(rule, cause);
  }
}
