package org.cornelspoke.coordination.admission;

/** How a request that a gate admitted ended; the concurrency limit learns from it. */
public enum Completion {
  /** The upstream returned a whole answer that is not a server error. */
  SUCCESS,
  /** The upstream returned a server error or broke the exchange. */
  FAILURE,
  /** The upstream did not answer in time. */
  TIMEOUT,
  /** The upstream declared that it shed the request. */
  SHED,
  /** The caller left; says nothing about the upstream. */
  CANCELLED
}
