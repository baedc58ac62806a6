package org.cornelspoke.coordination.quota;

/** How a request relates to the return times that were handed out. */
enum Arrival {
  /** Nothing connects the request with an earlier refusal. */
  NEW,
  /** The request has come at a return time, which it uses. */
  RETURNING,
  /**
   * An earlier attempt of this caller was refused a moment ago, or its return time hasn't come yet.
   */
  EARLY
}
