package org.cornelspoke.util;

/**
 * Checks arguments at the edge of a public method.
 *
 * <p>Every check throws {@link IllegalArgumentException} with a message that names the argument and
 * the rule it broke. Stateless and safe for use by any thread.
 */
public final class Assert {

  private Assert() {}

  /**
   * Returns the value when it is not null.
   *
   * @param value the argument
   * @param name the argument's name, used in the message
   * @throws IllegalArgumentException if the value is null
   */
  public static <T> T notNull(T value, String name) {
    if (value == null) {
      throw new IllegalArgumentException(name + " must not be null");
    }
    return value;
  }

  /**
   * Returns the text when it holds at least one character that is not white space.
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
   * @param rule the rule in words, for example {@code "burst must be at least 1"}
   * @throws IllegalArgumentException if the condition is false
   */
  public static void isTrue(boolean condition, String rule) {
    if (!condition) {
      throw new IllegalArgumentException(rule);
    }
  }

  /**
   * Returns the value when it is zero or more.
   *
   * @throws IllegalArgumentException if the value is negative or not a number
   */
  public static double notNegative(double value, String name) {
    isTrue(value >= 0, name + " must be 0 or more");
    return value;
  }
}
