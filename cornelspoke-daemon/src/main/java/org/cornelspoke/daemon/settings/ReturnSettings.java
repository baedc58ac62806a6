package org.cornelspoke.daemon.settings;

/**
 * Settings of the return times that callers refused for their rate are told.
 *
 * @param enabled true if return times are handed out
 * @param keepMillis time for which a token stays reserved after its return time
 */
public record ReturnSettings(boolean enabled, int keepMillis) {

  /** No return times. */
  public static final ReturnSettings DEFAULT = new ReturnSettings(false, 100);
}
