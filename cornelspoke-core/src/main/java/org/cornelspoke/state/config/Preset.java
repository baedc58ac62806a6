package org.cornelspoke.state.config;

import java.util.EnumMap;
import java.util.Map;
import org.cornelspoke.model.PresetName;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.util.Assert;

/**
 * A named set of policies that takes effect as a whole.
 *
 * @param retryBudget extra attempts that one root request may cause over its whole call chain
 * @param retryRatio extra attempts of a daemon per request it forwards, between 0 and 1
 * @param newestFirstAfterMillis time of uninterrupted queueing after which the newest request of an
 *     account is served first
 * @param classes the policy of every traffic class
 */
public record Preset(
    PresetName name,
    int retryBudget,
    double retryRatio,
    long newestFirstAfterMillis,
    Map<TrafficClass, ClassPolicy> classes)
    implements ConfigEntity {

  /** Checks the ranges and that every class has a policy. */
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

  /** Returns the policy of a class. */
  public ClassPolicy policyOf(TrafficClass trafficClass) {
    return classes.get(trafficClass);
  }

  @Override
  public EntityId entityId() {
    return new EntityId(EntityKind.PRESET, name.value());
  }
}
