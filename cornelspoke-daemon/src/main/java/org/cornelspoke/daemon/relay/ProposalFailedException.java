package org.cornelspoke.daemon.relay;

/** Thrown if a proposal is not known to be committed at its deadline. */
public final class ProposalFailedException extends Exception {

  private static final long serialVersionUID = 1L;

  private final boolean maybeCommitted;

  /** Creates an exception with the last failure cause reported by the replicated log. */
  public ProposalFailedException(boolean maybeCommitted, String cause) {
    super((maybeCommitted ? "outcome unknown: " : "not committed: ") + cause);
    this.maybeCommitted = maybeCommitted;
  }

  /** Returns false only if it is certain that the command is not and will not be committed. */
  public boolean isMaybeCommitted() {
    return maybeCommitted;
  }
}
