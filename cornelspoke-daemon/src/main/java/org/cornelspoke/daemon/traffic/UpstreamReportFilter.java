package org.cornelspoke.daemon.traffic;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Filters outdated reports of a local upstream. Reports can be delayed, also those of a process
 * that has ended, and a process can restart under its previous name.
 *
 * <p>Not thread-safe.
 */
public final class UpstreamReportFilter {

  /**
   * Silence of the current process after which another process is accepted despite an earlier start
   * time: the system clock may have been set back between the two starts.
   */
  private static final long SILENCE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** One run of an upstream process; a restarted process may keep its instance name. */
  private record Incarnation(String instance, long startedAtMillis) {}

  private final Set<Incarnation> endedIncarnations = new HashSet<>();
  private Incarnation current;
  private long lastSequence;
  private long lastReportAtNanos;

  /**
   * Processes a report.
   *
   * @param instance name of the process
   * @param startedAtMillis Unix time at which the process started, or 0 if unknown
   * @param sequence sequence number, which increases with each report of one incarnation
   * @return false if the report is older than the last accepted one, or if its process has ended
   */
  public boolean accept(String instance, long startedAtMillis, long sequence, long nowNanos) {
    Incarnation incarnation = new Incarnation(instance, startedAtMillis);
    if (endedIncarnations.contains(incarnation)) {
      return false;
    }
    if (incarnation.equals(current)) {
      if (sequence <= lastSequence) {
        return false;
      }
    } else if (current != null) {
      boolean startedEarlier = startedAtMillis < current.startedAtMillis();
      if (startedEarlier && nowNanos - lastReportAtNanos < SILENCE_TIMEOUT_NANOS) {
        return false;
      }
      endedIncarnations.add(current);
    }
    current = incarnation;
    lastSequence = sequence;
    lastReportAtNanos = nowNanos;
    return true;
  }

  /**
   * Processes the deregistration of a process.
   *
   * @return false if the process is not the current one
   */
  public boolean deregister(String instance) {
    if (current == null || !current.instance().equals(instance)) {
      return false;
    }
    endedIncarnations.add(current);
    current = null;
    return true;
  }
}
