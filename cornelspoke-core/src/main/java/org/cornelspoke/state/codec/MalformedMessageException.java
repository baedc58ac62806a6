package org.cornelspoke.state.codec;

/** Thrown if bytes are not a well-formed message of the expected type. */
public final class MalformedMessageException extends IllegalArgumentException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception for the violated rule. */
  public MalformedMessageException(String rule) {
    super(rule);
  }

  /** Creates an exception for the violated rule with its cause. */
  public MalformedMessageException(String rule, Throwable cause) {
    super(rule, cause);
  }
}
