package org.cornelspoke.daemon.admin;

/**
 * Health of a daemon, reported by {@code GET /healthz}.
 *
 * @param detail short reason for the state, for example {@code no fresh configuration}
 */
public record Health(boolean healthy, String detail) {

  /** State of a healthy daemon. */
  public static final Health OK = new Health(true, "ok");
}
