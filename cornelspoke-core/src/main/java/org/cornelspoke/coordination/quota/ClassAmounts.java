package org.cornelspoke.coordination.quota;

import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.util.Assert;

/**
 * An amount for each traffic class, such as requests per second or waiting requests.
 *
 * <p>Immutable and safe for use by any thread.
 */
public record ClassAmounts(double critical, double interactive, double bulk) {

  /** Zero for every class. */
  public static final ClassAmounts NONE = new ClassAmounts(0, 0, 0);

  /** Validates that no amount is negative or infinite. */
  public ClassAmounts {
    Assert.notNegative(critical, "critical");
    Assert.notNegative(interactive, "interactive");
    Assert.notNegative(bulk, "bulk");
  }

  /** Returns the amount of a class. */
  public double of(TrafficClass trafficClass) {
    return switch (trafficClass) {
      case CRITICAL -> critical;
      case INTERACTIVE -> interactive;
      case BULK -> bulk;
    };
  }

  /** Returns the sum over the classes. */
  public double total() {
    return critical + interactive + bulk;
  }

  /** Returns the sum over a class and all higher classes. */
  public double totalAtOrAbove(TrafficClass trafficClass) {
    return switch (trafficClass) {
      case CRITICAL -> critical;
      case INTERACTIVE -> critical + interactive;
      case BULK -> total();
    };
  }

  /** Returns the sums by class. */
  public ClassAmounts plus(ClassAmounts amounts) {
    return new ClassAmounts(
        critical + amounts.critical, interactive + amounts.interactive, bulk + amounts.bulk);
  }

  /** Returns these amounts with an amount added to one class. */
  public ClassAmounts plus(TrafficClass trafficClass, double amount) {
    return switch (trafficClass) {
      case CRITICAL -> new ClassAmounts(critical + amount, interactive, bulk);
      case INTERACTIVE -> new ClassAmounts(critical, interactive + amount, bulk);
      case BULK -> new ClassAmounts(critical, interactive, bulk + amount);
    };
  }

  /** Returns the amounts multiplied by a factor of 0 or more. */
  public ClassAmounts times(double factor) {
    return new ClassAmounts(critical * factor, interactive * factor, bulk * factor);
  }

  /** Returns the amounts of all higher classes only. */
  public ClassAmounts above(TrafficClass trafficClass) {
    return switch (trafficClass) {
      case CRITICAL -> NONE;
      case INTERACTIVE -> new ClassAmounts(critical, 0, 0);
      case BULK -> new ClassAmounts(critical, interactive, 0);
    };
  }

  /** Returns the amounts after subtracting a total, from the highest class first. */
  public ClassAmounts minusHighestFirst(double taken) {
    return new ClassAmounts(
        remaining(critical, taken),
        remaining(interactive, taken - critical),
        remaining(bulk, taken - critical - interactive));
  }

  private static double remaining(double amount, double taken) {
    return amount - Math.max(0, Math.min(amount, taken));
  }
}
