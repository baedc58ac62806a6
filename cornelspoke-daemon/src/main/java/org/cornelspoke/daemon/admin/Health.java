package org.cornelspoke.daemon.admin;

/**
 * Whether a daemon does its work, for {@code GET /healthz}.
 *
 * @param detail the cause in a few words, for example {@code no fresh configuration}
 */
public record Health(boolean healthy, String detail) {

  /** The daemon does its work. */
  public static final Health OK = new Health(true, "ok");
}
