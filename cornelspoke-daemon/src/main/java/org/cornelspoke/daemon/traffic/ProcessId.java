package org.cornelspoke.daemon.traffic;

import org.cornelspoke.util.Assert;

/**
 * Identifies one run of an upstream process; a restarted process may keep its name.
 *
 * @param instance name of the process
 * @param startedAtMillis Unix time in milliseconds at which the process started, or 0 if unknown
 */
public record ProcessId(String instance, long startedAtMillis) {

  /** Checks that the name can be sent in a header. */
  public ProcessId {
    Assert.hasText(instance, "instance");
    Assert.isTrue(
        instance.chars().allMatch(c -> c > ' ' && c < 0x7f),
        "instance must consist of printable ASCII characters without spaces");
  }

  /** Returns the name with the start time, as one word. */
  @Override
  public String toString() {
    return instance + '@' + startedAtMillis;
  }
}
