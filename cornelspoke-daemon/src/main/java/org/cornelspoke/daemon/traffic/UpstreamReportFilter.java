package org.cornelspoke.daemon.traffic;

import java.util.HashSet;
import java.util.OptionalLong;
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

  /** Start time of a process that does not state it. */
  private static final long UNKNOWN_START = 0;

  private final Set<ProcessId> endedProcesses = new HashSet<>();
  private ProcessId current;
  private long lastSequence;
  private long lastReportAtNanos;

  /**
   * Processes a report.
   *
   * @param sequence sequence number, which increases with each report of one process
   * @return false if the report is older than the last accepted one, or if its process has ended
   */
  public boolean accept(ProcessId process, long sequence, long nowNanos) {
    if (endedProcesses.contains(process)) {
      return false;
    }
    if (process.equals(current)) {
      if (sequence <= lastSequence) {
        return false;
      }
    } else if (current != null) {
      boolean startedEarlier = process.startedAtMillis() < current.startedAtMillis();
      if (startedEarlier && nowNanos - lastReportAtNanos < SILENCE_TIMEOUT_NANOS) {
        return false;
      }
      endedProcesses.add(current);
    }
    current = process;
    lastSequence = sequence;
    lastReportAtNanos = nowNanos;
    return true;
  }

  /**
   * A deregistration.
   *
   * @param process the process that ends
   * @param current true if it is the one whose reports were accepted last
   */
  public record Deregistration(ProcessId process, boolean current) {}

  /**
   * Processes the deregistration of a process, which may be delayed as well.
   *
   * @param startedAtMillis start time of the process, or empty if the call does not contain it; it
   *     then refers to the current process if that has the name
   */
  public Deregistration deregister(String instance, OptionalLong startedAtMillis) {
    boolean sameName = current != null && current.instance().equals(instance);
    boolean isCurrent =
        sameName
            && (startedAtMillis.isEmpty()
                || current.startedAtMillis() == 0
                || current.startedAtMillis() == startedAtMillis.getAsLong());
    ProcessId process =
        isCurrent ? current : new ProcessId(instance, startedAtMillis.orElse(UNKNOWN_START));
    endedProcesses.add(process);
    if (isCurrent) {
      current = null;
    }
    return new Deregistration(process, isCurrent);
  }
}
