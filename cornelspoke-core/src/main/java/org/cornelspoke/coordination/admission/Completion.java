package org.cornelspoke.coordination.admission;

/** Outcome of an admitted request, used as input of the concurrency limit. */
public enum Completion {
  /** The upstream returned a complete response that is not a server error. */
  SUCCESS,
  /** The upstream returned a server error or broke the connection. */
  FAILURE,
  /** The upstream did not respond in time. */
  TIMEOUT,
  /** The upstream reported that it shed the request. */
  SHED,
  /** The caller cancelled the request; carries no information about the upstream. */
  CANCELLED
}
