package org.cornelspoke.state.registry;

import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.TargetId;

/** A change of the registry. Changes travel in batches. */
public sealed interface RegistryChange {

  /** Adds or replaces a target. Does nothing while another daemon has a target with this id. */
  record Register(Target target) implements RegistryChange {}

  /** Marks a target as draining if the daemon owns it. */
  record Drain(TargetId target, DaemonId daemon) implements RegistryChange {}

  /** Removes a target if the daemon owns it. */
  record Remove(TargetId target, DaemonId daemon) implements RegistryChange {}

  /**
   * Removes a target whose daemon has vanished, if it was not changed after the version at which
   * its absence was noticed.
   */
  record Expire(TargetId target, long version) implements RegistryChange {}
}
