package org.cornelspoke.state.config;

import java.util.List;
import java.util.Map;
import org.cornelspoke.model.PresetName;
import org.cornelspoke.model.TrafficClass;

/** Presets of the initial configuration. */
public final class BuiltInPresets {

  /** Active until an operator selects another preset. */
  public static final PresetName ORDINARY = new PresetName("ordinary");

  /** For periods in which demand exceeds capacity. */
  public static final PresetName PEAK = new PresetName("peak");

  /** For periods in which some upstreams are out of service. */
  public static final PresetName MAINTENANCE = new PresetName("maintenance");

  private static final long CRITICAL_QUEUE_TIMEOUT_MILLIS = 2_000;
  private static final long INTERACTIVE_QUEUE_TIMEOUT_MILLIS = 1_000;
  private static final long BULK_QUEUE_TIMEOUT_MILLIS = 500;

  private BuiltInPresets() {}

  /** Returns the initial {@link #ORDINARY} preset, for daemons without a configuration. */
  public static Preset ordinary() {
    return all().get(0);
  }

  /** Returns all built-in presets with their initial values. */
  static List<Preset> all() {
    // Retries amplify an overload, so the presets for scarce capacity allow fewer of them.
    return List.of(
        preset(ORDINARY, 2, 0.10, 1_000, 0.9, 0.6, false),
        preset(PEAK, 1, 0.05, 500, 0.7, 0.2, false),
        preset(MAINTENANCE, 1, 0.05, 500, 0.6, 0.1, true));
  }

  private static Preset preset(
      PresetName name,
      int retryBudget,
      double retryRatio,
      long newestFirstAfterMillis,
      double interactiveSlotShare,
      double bulkSlotShare,
      boolean bulkRefused) {
    return new Preset(
        name,
        retryBudget,
        retryRatio,
        newestFirstAfterMillis,
        Map.of(
            TrafficClass.CRITICAL,
            new ClassPolicy(1.0, 512, CRITICAL_QUEUE_TIMEOUT_MILLIS, false),
            TrafficClass.INTERACTIVE,
            new ClassPolicy(interactiveSlotShare, 256, INTERACTIVE_QUEUE_TIMEOUT_MILLIS, false),
            TrafficClass.BULK,
            new ClassPolicy(bulkSlotShare, 128, BULK_QUEUE_TIMEOUT_MILLIS, bulkRefused)));
  }
}
