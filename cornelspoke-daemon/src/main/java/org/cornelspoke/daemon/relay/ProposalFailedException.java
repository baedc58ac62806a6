package org.cornelspoke.daemon.relay;

/** A proposal whose success is not known at its deadline. */
public final class ProposalFailedException extends Exception {

  private static final long serialVersionUID = 1L;

  private final boolean maybeCommitted;

  /** Creates an exception with the last cause that the log gave. */
  public ProposalFailedException(boolean maybeCommitted, String cause) {
    super((maybeCommitted ? "outcome unknown: " : "not committed: ") + cause);
    this.maybeCommitted = maybeCommitted;
  }

  /** Returns false if the command was certainly not committed and never will be. */
  public boolean isMaybeCommitted() {
    return maybeCommitted;
  }
}
