package org.cornelspoke.state.registry;

/** State of a registered target. The ordinals are part of the encoding. */
public enum TargetState {
  /** Accepts new requests. */
  UP,
  /** Completes its in-flight requests and accepts no new ones. */
  DRAINING
}
