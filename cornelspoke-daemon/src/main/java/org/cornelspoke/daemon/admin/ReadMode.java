package org.cornelspoke.daemon.admin;

/** Consistency of a read. */
public enum ReadMode {
  /** Linearizable: confirmed by a read index; fails without a quorum. */
  CURRENT,
  /** Locally applied state of this control VM: may be stale, but works without a quorum. */
  APPLIED
}
