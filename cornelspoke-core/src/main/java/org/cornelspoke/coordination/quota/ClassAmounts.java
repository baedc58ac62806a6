package org.cornelspoke.coordination.quota;

import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.util.Assert;

/**
 * An amount for each traffic class, such as requests per second or waiting requests.
 *
 * <p>Immutable and safe for use by any thread.
 */
public record ClassAmounts(double critical, double interactive, double bulk) {

  /** Nothing in any class. */
  public static final ClassAmounts NONE = new ClassAmounts(0, 0, 0);

  /** Checks that no amount is negative or infinite. */
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

  /** Returns the sum of a class and those that outrank it. */
  public double upTo(TrafficClass trafficClass) {
    return switch (trafficClass) {
      case CRITICAL -> critical;
      case INTERACTIVE -> critical + interactive;
      case BULK -> total();
    };
  }

  /** Returns the sums by class. */
  public ClassAmounts plus(ClassAmounts other) {
    return new ClassAmounts(
        critical + other.critical, interactive + other.interactive, bulk + other.bulk);
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

  /** Returns these amounts without a class and those that it outranks. */
  public ClassAmounts above(TrafficClass trafficClass) {
    return switch (trafficClass) {
      case CRITICAL -> NONE;
      case INTERACTIVE -> new ClassAmounts(critical, 0, 0);
      case BULK -> new ClassAmounts(critical, interactive, 0);
    };
  }

  /** Returns what is left after an amount was taken, from the highest class first. */
  public ClassAmounts lessFirst(double taken) {
    return new ClassAmounts(
        left(critical, taken),
        left(interactive, taken - critical),
        left(bulk, taken - critical - interactive));
  }

  private static double left(double amount, double taken) {
    return amount - Math.max(0, Math.min(amount, taken));
  }
}
