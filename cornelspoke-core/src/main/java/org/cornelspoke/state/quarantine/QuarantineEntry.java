package org.cornelspoke.state.quarantine;

import java.util.List;
import java.util.Optional;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.RequestFingerprint;
import org.cornelspoke.model.ServiceName;

/**
 * Evidence about the requests of one fingerprint.
 *
 * @param request description of the first such request that ran in a crash
 * @param crashes the first crashes in which such a request ran, oldest first
 * @param version version of the table at which the entry last changed
 * @param changedAtMillis Unix time in milliseconds of that change, as stated by a relay
 * @param releasedBy operator who released the request, if one did
 */
public record QuarantineEntry(
    CrashReport.RunningRequest request,
    ServiceName service,
    QuarantineState state,
    List<Crash> crashes,
    long version,
    long changedAtMillis,
    Optional<OperatorId> releasedBy) {

  /** Maximum number of recorded crashes. */
  public static final int MAX_CRASHES = 8;

  /** Copies the list. */
  public QuarantineEntry {
    crashes = List.copyOf(crashes);
  }

  /** Returns the fingerprint. */
  public RequestFingerprint fingerprint() {
    return request.fingerprint();
  }

  /** Returns true if daemons refuse such requests. */
  public boolean isRefused() {
    return state == QuarantineState.HELD || state == QuarantineState.BLOCKED;
  }

  boolean hasCrash(String process, DaemonId daemon) {
    return crashes.stream()
        .anyMatch(crash -> crash.process().equals(process) && crash.daemon().equals(daemon));
  }

  /**
   * A crash of an upstream process.
   *
   * @param atMillis Unix time in milliseconds of the report, as stated by a relay
   */
  public record Crash(String process, DaemonId daemon, long atMillis) {}
}
