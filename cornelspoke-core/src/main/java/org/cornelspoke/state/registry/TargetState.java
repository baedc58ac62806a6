package org.cornelspoke.state.registry;

/** Whether a registered target takes new work. The order is used in encoded form. */
public enum TargetState {
  /** Takes new work. */
  UP,
  /** Finishes what it has and takes no new work. */
  DRAINING
}
