package org.cornelspoke.state.quarantine;

/** What daemons do with the requests of a fingerprint. The order of the constants is encoded. */
public enum QuarantineState {
  /** The request ran in a crash that other requests may have caused; it is forwarded. */
  SUSPECTED,
  /** The request is one of the few that ran in the same two crashes; it is refused for a while. */
  HELD,
  /** The request is refused until an operator releases it. */
  BLOCKED,
  /** The evidence is void: a run has ended well, or an operator has released the request. */
  CLEARED
}
