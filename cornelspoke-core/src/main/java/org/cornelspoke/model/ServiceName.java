package org.cornelspoke.model;

/** Identifies a service, a group of interchangeable upstreams. */
public record ServiceName(String value) {

  private static final IdPattern PATTERN = new IdPattern("ServiceName", "[a-z0-9][a-z0-9-]{0,62}");

  /**
   * Checks the text against the id's pattern.
   *
   * @throws IllegalArgumentException if the text does not match
   */
  public ServiceName {
    PATTERN.check(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
