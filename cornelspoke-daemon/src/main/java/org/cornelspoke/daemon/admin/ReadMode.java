package org.cornelspoke.daemon.admin;

/** Whether a read must be proved current. */
public enum ReadMode {
  /** Confirmed by a read index; fails without a quorum. */
  CURRENT,
  /** What this control VM has applied; may be old, and works without a quorum. */
  APPLIED
}
