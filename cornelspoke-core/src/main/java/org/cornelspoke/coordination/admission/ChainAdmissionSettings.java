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

  /** Settings that leave chain admission off. */
  public static final ChainAdmissionSettings OFF =
      new ChainAdmissionSettings(false, DEFAULT_TARGET_UTILISATION);

  /** Checks the range. */
  public ChainAdmissionSettings {
    Assert.isTrue(
        targetUtilisation >= 0.1 && targetUtilisation <= 1,
        "targetUtilisation must be between 0.1 and 1");
  }
}
