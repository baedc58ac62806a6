package org.cornelspoke.state.codec;

import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.RequestFingerprint;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.state.quarantine.CrashReport;
import org.cornelspoke.state.quarantine.QuarantineEntry;
import org.cornelspoke.state.quarantine.QuarantineSnapshot;
import org.cornelspoke.state.quarantine.QuarantineState;

/** Encodes and decodes crash reports and the quarantine table. Stateless. */
public final class QuarantineCodec {

  private QuarantineCodec() {}

  /** Writes a crash report. */
  public static void writeReport(MessageWriter out, CrashReport report) {
    out.array(4).text(report.process()).text(report.service().value());
    out.text(report.daemon().value());
    out.list(report.running(), (CrashReport.RunningRequest request) -> writeRequest(out, request));
  }

  /** Reads a crash report. */
  public static CrashReport readReport(MessageReader in) {
    in.array(4);
    return new CrashReport(
        in.text(),
        new ServiceName(in.text()),
        new DaemonId(in.text()),
        in.list(() -> readRequest(in)));
  }

  /** Writes the complete state of a table. */
  static void writeSnapshot(MessageWriter out, QuarantineSnapshot snapshot) {
    out.array(4).number(snapshot.version()).number(snapshot.floor());
    out.number(snapshot.timestampMillis());
    out.list(snapshot.entries(), (QuarantineEntry entry) -> writeEntry(out, entry));
  }

  /** Reads the complete state of a table. */
  static QuarantineSnapshot readSnapshot(MessageReader in) {
    in.array(4);
    return new QuarantineSnapshot(
        in.number(), in.number(), in.number(), in.list(() -> readEntry(in)));
  }

  private static void writeRequest(MessageWriter out, CrashReport.RunningRequest request) {
    out.array(5).text(request.fingerprint().value()).number(request.headHash());
    out.text(request.method()).text(request.requestTarget()).text(request.account().value());
  }

  private static CrashReport.RunningRequest readRequest(MessageReader in) {
    in.array(5);
    return new CrashReport.RunningRequest(
        new RequestFingerprint(in.text()),
        in.number(),
        in.text(),
        in.text(),
        new AccountId(in.text()));
  }

  private static void writeEntry(MessageWriter out, QuarantineEntry entry) {
    out.array(7);
    writeRequest(out, entry.request());
    out.text(entry.service().value()).enumConstant(entry.state(), QuarantineState.values());
    out.list(
        entry.crashes(),
        (QuarantineEntry.Crash crash) ->
            out.array(3)
                .text(crash.process())
                .text(crash.daemon().value())
                .number(crash.atMillis()));
    out.number(entry.version()).number(entry.changedAtMillis());
    out.optional(entry.releasedBy(), (OperatorId operator) -> out.text(operator.value()));
  }

  private static QuarantineEntry readEntry(MessageReader in) {
    in.array(7);
    return new QuarantineEntry(
        readRequest(in),
        new ServiceName(in.text()),
        in.enumConstant(QuarantineState.values()),
        in.list(
            () -> {
              in.array(3);
              return new QuarantineEntry.Crash(in.text(), new DaemonId(in.text()), in.number());
            }),
        in.number(),
        in.number(),
        in.optional(() -> new OperatorId(in.text())));
  }
}
