package org.cornelspoke.daemon.settings;

import org.cornelspoke.util.Assert;

/**
 * Settings of the learned capacity of upstreams.
 *
 * @param enabled true if gates learn the capacity of their upstreams and callers use it
 * @param minLimitFraction lower bound of the learned concurrency as a fraction of the slots
 * @param windowMillis shortest time over which requests are compared
 */
public record LearnedCapacitySettings(boolean enabled, double minLimitFraction, int windowMillis) {

  /** Lowest accepted fraction. */
  public static final double MIN_LIMIT_FRACTION = 0.25;

  /** Bounds of the window. */
  public static final int MIN_WINDOW_MILLIS = 20;

  /** Bounds of the window. */
  public static final int MAX_WINDOW_MILLIS = 1_000;

  /** The settings of a daemon without the block. */
  public static final LearnedCapacitySettings OFF = new LearnedCapacitySettings(false, 0.25, 100);

  /** Checks the ranges. */
  public LearnedCapacitySettings {
    Assert.isTrue(
        minLimitFraction >= MIN_LIMIT_FRACTION && minLimitFraction <= 1,
        "minLimitFraction must be between 0.25 and 1");
    Assert.isTrue(
        windowMillis >= MIN_WINDOW_MILLIS && windowMillis <= MAX_WINDOW_MILLIS,
        "windowMillis must be between 20 and 1000");
  }

  /** Returns the default settings, enabled. */
  public static LearnedCapacitySettings enabledWithDefaults() {
    return new LearnedCapacitySettings(true, OFF.minLimitFraction, OFF.windowMillis);
  }
}
