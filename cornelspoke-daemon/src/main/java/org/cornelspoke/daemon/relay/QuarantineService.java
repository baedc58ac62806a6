package org.cornelspoke.daemon.relay;

import io.activej.promise.Promise;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.cornelspoke.coordination.dissemination.ControlMessage;
import org.cornelspoke.model.RequestFingerprint;
import org.cornelspoke.state.codec.CommandCodec;
import org.cornelspoke.state.codec.ControlCommand;
import org.cornelspoke.state.codec.ControlResult;
import org.cornelspoke.state.quarantine.CrashReport;
import org.cornelspoke.state.quarantine.QuarantineEntry;
import org.cornelspoke.state.quarantine.QuarantineTable;

/**
 * Proposes what attached daemons observe of crashes to the replicated log, and logs which requests
 * are refused from then on.
 */
final class QuarantineService {

  private static final System.Logger LOGGER = System.getLogger(QuarantineService.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long PROPOSAL_TIMEOUT_MILLIS = 10_000;

  private final RetryingLog log;
  private final QuarantineTable table;
  private final LongSupplier nanoClock;
  private final LongSupplier wallClockMillis;

  QuarantineService(
      RetryingLog log,
      QuarantineTable table,
      LongSupplier nanoClock,
      LongSupplier wallClockMillis) {
    this.log = log;
    this.table = table;
    this.nanoClock = nanoClock;
    this.wallClockMillis = wallClockMillis;
  }

  void recordCrash(ControlMessage.CrashObserved message, Consumer<ControlMessage> reply) {
    propose(
            new ControlCommand.RecordCrash(message.report(), wallClockMillis.getAsLong()),
            message.correlationId(),
            reply)
        .whenResult(changed -> logRefused(message.report(), changed));
  }

  void recordResponse(ControlMessage.ResponseObserved message, Consumer<ControlMessage> reply) {
    propose(
            new ControlCommand.RecordResponse(message.fingerprint(), wallClockMillis.getAsLong()),
            message.correlationId(),
            reply)
        .whenResult(changed -> logCleared(message.fingerprint(), changed));
  }

  /**
   * Sends no reply on failure; the daemon then sends its message again.
   *
   * @return true if a request has changed its state
   */
  private Promise<Boolean> propose(
      ControlCommand command, long correlationId, Consumer<ControlMessage> reply) {
    long deadlineNanos = nanoClock.getAsLong() + PROPOSAL_TIMEOUT_MILLIS * NANOS_PER_MILLI;
    return log.propose(CommandCodec.encode(command), deadlineNanos)
        .whenResult(result -> reply.accept(new ControlMessage.ClaimEndReply(correlationId)))
        .map(
            result ->
                ((ControlResult.QuarantineChanged) CommandCodec.decodeResult(result)).changed());
  }

  private void logRefused(CrashReport report, boolean changed) {
    if (!changed) {
      return;
    }
    for (CrashReport.RunningRequest request : report.running()) {
      table
          .entry(request.fingerprint())
          .filter(QuarantineEntry::isRefused)
          .ifPresent(
              entry ->
                  LOGGER.log(
                      System.Logger.Level.WARNING,
                      "event=request-refused request={0} state={1} crashes={2} service={3}"
                          + " account={4} method={5} target={6}",
                      entry.fingerprint(),
                      entry.state(),
                      entry.crashes().size(),
                      entry.service(),
                      request.account(),
                      request.method(),
                      request.requestTarget()));
    }
  }

  private static void logCleared(RequestFingerprint fingerprint, boolean changed) {
    if (changed) {
      LOGGER.log(System.Logger.Level.INFO, "event=request-cleared request={0}", fingerprint);
    }
  }
}
