package org.cornelspoke.daemon.traffic;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cornelspoke.coordination.quarantine.CrashReporter;
import org.cornelspoke.coordination.quarantine.Quarantine;
import org.cornelspoke.coordination.quarantine.QuarantineSource;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.RequestFingerprint;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.protocol.call.CallHead;
import org.cornelspoke.protocol.call.MessageBody;
import org.cornelspoke.state.quarantine.CrashReport;

/**
 * Tells which requests crash upstreams, and reports what this daemon observes of them. Fingerprints
 * are computed only if some requests are known to have run in crashes.
 *
 * <p>Confined to the reactor thread.
 */
final class QuarantineCheck {

  private final QuarantineSource source;
  private final CrashReporter reporter;
  private final DaemonId daemon;
  private final RequestFingerprints fingerprints = new RequestFingerprints();

  /** Requests whose response was reported while {@link #reportedFor} was known. */
  private final Set<RequestFingerprint> reported = new HashSet<>();

  private Quarantine reportedFor = Quarantine.EMPTY;

  QuarantineCheck(QuarantineSource source, CrashReporter reporter, DaemonId daemon) {
    this.source = source;
    this.reporter = reporter;
    this.daemon = daemon;
  }

  /** Returns true if the request must not be sent to an upstream. */
  boolean refuses(CallHead head, MessageBody body, long nowNanos) {
    Quarantine quarantine = source.quarantine();
    return !quarantine.isEmpty()
        && quarantine.refuses(
            fingerprints.headHash(head), () -> fingerprints.of(head, body), nowNanos);
  }

  /** Processes that an upstream has responded successfully to a request. */
  void onResponse(CallHead head, MessageBody body) {
    Quarantine quarantine = source.quarantine();
    if (quarantine.isEmpty() || !quarantine.mayContain(fingerprints.headHash(head))) {
      return;
    }
    if (quarantine != reportedFor) {
      reportedFor = quarantine;
      reported.clear();
    }
    RequestFingerprint fingerprint = fingerprints.of(head, body);
    if (quarantine.contains(fingerprint) && reported.add(fingerprint)) {
      reporter.reportResponse(fingerprint);
    }
  }

  /** Returns the record of a request whose connection has just ended. */
  LostRequest lost(
      CallHead head, MessageBody body, long connectedAtNanos, long sentAtNanos, long nowNanos) {
    return new LostRequest(
        fingerprints.of(head, body),
        fingerprints.headHash(head),
        head.method(),
        head.requestTarget(),
        head.account(),
        connectedAtNanos,
        nowNanos - sentAtNanos,
        nowNanos);
  }

  /** Processes the crash of an upstream process. */
  void onCrash(String process, ServiceName service, List<LostRequest> running) {
    List<CrashReport.RunningRequest> requests =
        running.stream()
            .map(
                request ->
                    new CrashReport.RunningRequest(
                        request.fingerprint(),
                        request.headHash(),
                        request.method(),
                        request.requestTarget(),
                        request.account()))
            .toList();
    reporter.reportCrash(new CrashReport(process, service, daemon, requests));
  }
}
