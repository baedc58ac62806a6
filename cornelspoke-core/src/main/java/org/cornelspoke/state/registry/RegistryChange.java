package org.cornelspoke.state.registry;

import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.TargetId;

/** A change of the target registry. Changes are proposed in batches. */
public sealed interface RegistryChange {

  /** Adds or replaces a target; ignored while another daemon owns a target with this id. */
  record Register(Target target) implements RegistryChange {}

  /** Marks a target as draining; ignored if the daemon does not own it. */
  record Drain(TargetId target, DaemonId daemon) implements RegistryChange {}

  /** Removes a target; ignored if the daemon does not own it. */
  record Remove(TargetId target, DaemonId daemon) implements RegistryChange {}

  /**
   * Removes a target whose daemon is gone; ignored if the version of the target is not the one at
   * which the absence of the daemon was detected.
   */
  record Expire(TargetId target, long version) implements RegistryChange {}

  /** Records that an upstream process has said that it leaves. */
  record Depart(Departure departure) implements RegistryChange {}
}
