package org.cornelspoke.daemon.traffic;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Decides which reports of the upstream beside this daemon are news. Reports can be late, also from
 * a process that has ended, and a process can start again under the name that it had.
 *
 * <p>Not safe for use by several threads.
 */
public final class UpstreamReports {

  /**
   * Silence after which another process is believed although it says that it started earlier: the
   * time of day may have been set back between the two starts.
   */
  private static final long SILENCE_NANOS = TimeUnit.SECONDS.toNanos(4);

  private record Life(String instance, long bornMillis) {}

  private final Set<Life> ended = new HashSet<>();
  private Life current;
  private long lastSequence;
  private long heardNanos;

  /**
   * Takes a report.
   *
   * @param instance name of the process
   * @param bornMillis Unix time of its start, or 0 if it does not tell
   * @param sequence grows from report to report in one life
   * @return false if the report is older than what is known, or of a process that has ended
   */
  public boolean accept(String instance, long bornMillis, long sequence, long nowNanos) {
    Life life = new Life(instance, bornMillis);
    if (ended.contains(life)) {
      return false;
    }
    if (life.equals(current)) {
      if (sequence <= lastSequence) {
        return false;
      }
    } else if (current != null) {
      boolean older = bornMillis < current.bornMillis();
      if (older && nowNanos - heardNanos < SILENCE_NANOS) {
        return false;
      }
      ended.add(current);
    }
    current = life;
    lastSequence = sequence;
    heardNanos = nowNanos;
    return true;
  }

  /**
   * Takes the report that a process leaves.
   *
   * @return false if it is not the present process
   */
  public boolean leave(String instance) {
    if (current == null || !current.instance().equals(instance)) {
      return false;
    }
    ended.add(current);
    current = null;
    return true;
  }
}
