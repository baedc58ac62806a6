package org.cornelspoke.daemon.traffic;

import org.cornelspoke.coordination.dissemination.ControlMessage;
import org.cornelspoke.coordination.quarantine.CrashReporter;
import org.cornelspoke.coordination.quarantine.Quarantine;
import org.cornelspoke.coordination.quarantine.QuarantineSource;
import org.cornelspoke.coordination.quarantine.QuarantineTracker;
import org.cornelspoke.model.RequestFingerprint;
import org.cornelspoke.state.quarantine.CrashReport;
import org.cornelspoke.state.quarantine.QuarantineTable;

/** A control group of one table that all daemons of a test see at once. */
final class InMemoryQuarantine implements QuarantineSource, CrashReporter {

  private final QuarantineTable table = new QuarantineTable();
  private final QuarantineTracker tracker = new QuarantineTracker();
  private volatile Quarantine quarantine = Quarantine.EMPTY;

  @Override
  public Quarantine quarantine() {
    return quarantine;
  }

  @Override
  public synchronized void reportCrash(CrashReport report) {
    table.recordCrash(report, 0);
    publish();
  }

  @Override
  public synchronized void reportResponse(RequestFingerprint fingerprint) {
    table.recordResponse(fingerprint, 0);
    publish();
  }

  private void publish() {
    tracker.apply(
        new ControlMessage.QuarantineUpdate(
            table.version(),
            false,
            table.changesAfter(tracker.version()).stream()
                .map(
                    entry ->
                        new ControlMessage.QuarantineUpdate.Item(
                            entry.fingerprint(), entry.request().headHash(), entry.state()))
                .toList()),
        System.nanoTime());
    quarantine = tracker.current();
  }
}
