package org.cornelspoke.daemon.relay;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.cornelspoke.coordination.dissemination.ControlMessage;
import org.cornelspoke.state.codec.CommandCodec;
import org.cornelspoke.state.codec.ControlCommand;

/** Proposes what attached daemons observe of crashes to the replicated log. */
final class QuarantineService {

  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long PROPOSAL_TIMEOUT_MILLIS = 10_000;

  private final RetryingLog log;
  private final LongSupplier nanoClock;
  private final LongSupplier wallClockMillis;

  QuarantineService(RetryingLog log, LongSupplier nanoClock, LongSupplier wallClockMillis) {
    this.log = log;
    this.nanoClock = nanoClock;
    this.wallClockMillis = wallClockMillis;
  }

  void recordCrash(ControlMessage.CrashObserved message, Consumer<ControlMessage> reply) {
    propose(
        new ControlCommand.RecordCrash(message.report(), wallClockMillis.getAsLong()),
        message.correlationId(),
        reply);
  }

  void recordResponse(ControlMessage.ResponseObserved message, Consumer<ControlMessage> reply) {
    propose(
        new ControlCommand.RecordResponse(message.fingerprint(), wallClockMillis.getAsLong()),
        message.correlationId(),
        reply);
  }

  /** Sends no reply on failure; the daemon then sends its message again. */
  private void propose(ControlCommand command, long correlationId, Consumer<ControlMessage> reply) {
    long deadlineNanos = nanoClock.getAsLong() + PROPOSAL_TIMEOUT_MILLIS * NANOS_PER_MILLI;
    log.propose(CommandCodec.encode(command), deadlineNanos)
        .whenResult(result -> reply.accept(new ControlMessage.ClaimEndReply(correlationId)));
  }
}
