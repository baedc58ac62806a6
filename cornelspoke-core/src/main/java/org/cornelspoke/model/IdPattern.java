package org.cornelspoke.model;

import java.util.regex.Pattern;

/** Pattern that all ids of a type must match. */
final class IdPattern {

  private final String typeName;
  private final Pattern pattern;

  IdPattern(String typeName, String regex) {
    this.typeName = typeName;
    this.pattern = Pattern.compile(regex);
  }

  void check(String value) {
    if (value == null || !pattern.matcher(value).matches()) {
      throw new IllegalArgumentException(typeName + " must match " + pattern + ": " + value);
    }
  }
}
