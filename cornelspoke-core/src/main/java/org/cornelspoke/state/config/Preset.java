package org.cornelspoke.state.config;

import java.util.EnumMap;
import java.util.Map;
import org.cornelspoke.model.PresetName;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.util.Assert;

/**
 * A named set of policies that is activated as a whole.
 *
 * @param retryBudget maximum number of retries of one root request over its entire call tree
 * @param retryRatio retries of a daemon per request that it forwards, between 0 and 1
 * @param newestFirstAfterMillis time for which requests must have queued without interruption
 *     before the newest request of an account is dispatched first
 * @param classes policy of each traffic class
 */
public record Preset(
    PresetName name,
    int retryBudget,
    double retryRatio,
    long newestFirstAfterMillis,
    Map<TrafficClass, ClassPolicy> classes)
    implements ConfigEntity {

  /** Checks the ranges and that each traffic class has a policy. */
  public Preset {
    Assert.notNull(name, "name");
    Assert.isTrue(retryBudget >= 0, "retryBudget must be 0 or more");
    Assert.isTrue(retryRatio >= 0 && retryRatio <= 1, "retryRatio must be between 0 and 1");
    Assert.isTrue(newestFirstAfterMillis >= 0, "newestFirstAfterMillis must be 0 or more");
    Assert.isTrue(
        classes != null && classes.size() == TrafficClass.values().length,
        "classes must name every traffic class");
    classes = Map.copyOf(new EnumMap<>(classes));
  }

  /** Returns the policy of a traffic class. */
  public ClassPolicy policyOf(TrafficClass trafficClass) {
    return classes.get(trafficClass);
  }

  @Override
  public EntityId entityId() {
    return new EntityId(EntityKind.PRESET, name.value());
  }
}
