package org.cornelspoke.model;

/** Identifies a service, which is a group of interchangeable upstreams. */
public record ServiceName(String value) {

  private static final IdPattern PATTERN = new IdPattern("ServiceName", "[a-z0-9][a-z0-9-]{0,62}");

  /**
   * Checks the value against the pattern of the id.
   *
   * @throws IllegalArgumentException if the value does not match
   */
  public ServiceName {
    PATTERN.check(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
