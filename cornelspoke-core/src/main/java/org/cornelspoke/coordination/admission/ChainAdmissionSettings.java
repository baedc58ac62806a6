package org.cornelspoke.coordination.admission;

import org.cornelspoke.util.Assert;

/**
 * Settings of the admission of call chains by the capacity of the services that they call.
 *
 * @param targetUtilisation fraction of a gate's slots for which chains are admitted
 */
public record ChainAdmissionSettings(boolean enabled, double targetUtilisation) {

  /** Utilisation up to which the queue of a gate stays short. */
  public static final double DEFAULT_TARGET_UTILISATION = 0.9;

  /** A gate with less than this has no use for its slots. */
  public static final double MIN_TARGET_UTILISATION = 0.1;

  /** At full use, the queue of a gate never empties. */
  public static final double MAX_TARGET_UTILISATION = 1;

  /** Settings that leave chain admission off. */
  public static final ChainAdmissionSettings OFF =
      new ChainAdmissionSettings(false, DEFAULT_TARGET_UTILISATION);

  /** Checks the range. */
  public ChainAdmissionSettings {
    Assert.isTrue(
        targetUtilisation >= MIN_TARGET_UTILISATION && targetUtilisation <= MAX_TARGET_UTILISATION,
        "targetUtilisation must be between 0.1 and 1");
  }
}
