package org.cornelspoke.util;

/**
 * Assertions that validate the arguments of methods and constructors.
 *
 * <p>A failed check throws an {@link IllegalArgumentException} whose message names the argument and
 * the violated rule. Stateless and thread-safe.
 */
public final class Assert {

  private Assert() {}

  /**
   * Returns the value if it is not null.
   *
   * @param value the argument
   * @param name name of the argument, used in the message
   * @throws IllegalArgumentException if the value is null
   */
  public static <T> T notNull(T value, String name) {
    if (value == null) {
      throw new IllegalArgumentException(name + " must not be null");
    }
    return value;
  }

  /**
   * Returns the text if it contains at least one non-whitespace character.
   *
   * @throws IllegalArgumentException if the text is null or blank
   */
  public static String hasText(String value, String name) {
    if (value == null || value.isBlank()) {
      throw new IllegalArgumentException(name + " must not be blank");
    }
    return value;
  }

  /**
   * Checks a condition on an argument.
   *
   * @param rule message that states the rule, for example {@code "burst must be at least 1"}
   * @throws IllegalArgumentException if the condition is false
   */
  public static void isTrue(boolean condition, String rule) {
    if (!condition) {
      throw new IllegalArgumentException(rule);
    }
  }

  /**
   * Returns the value if it is zero or more.
   *
   * @throws IllegalArgumentException if the value is negative or not a number
   */
  public static double notNegative(double value, String name) {
    isTrue(value >= 0, name + " must be 0 or more");
    return value;
  }
}
