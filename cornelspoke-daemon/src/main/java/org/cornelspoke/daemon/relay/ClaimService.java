package org.cornelspoke.daemon.relay;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.cornelspoke.coordination.dissemination.ControlMessage;
import org.cornelspoke.state.claim.ClaimOutcome;
import org.cornelspoke.state.codec.CommandCodec;
import org.cornelspoke.state.codec.ControlCommand;
import org.cornelspoke.state.codec.ControlResult;

/** Proposes the claims of attached daemons, and their ends, to the replicated log. */
final class ClaimService {

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Limits how long one message can cause retries. */
  private static final long MAX_TIMEOUT_MILLIS = 10_000;

  private final RetryingLog log;
  private final LongSupplier nanoClock;
  private final LongSupplier wallClockMillis;

  ClaimService(RetryingLog log, LongSupplier nanoClock, LongSupplier wallClockMillis) {
    this.log = log;
    this.nanoClock = nanoClock;
    this.wallClockMillis = wallClockMillis;
  }

  void place(ControlMessage.ClaimRequest request, Consumer<ControlMessage> reply) {
    ControlCommand command =
        new ControlCommand.PlaceClaim(
            request.key(),
            request.attempt(),
            request.fingerprintHex(),
            wallClockMillis.getAsLong());
    log.propose(CommandCodec.encode(command), deadlineNanos(request.timeoutMillis()))
        .map(result -> ((ControlResult.Claimed) CommandCodec.decodeResult(result)).outcome())
        .whenResult(
            outcome ->
                reply.accept(new ControlMessage.ClaimReply(request.correlationId(), outcome)))
        .whenException(
            e ->
                reply.accept(
                    new ControlMessage.ClaimReply(
                        request.correlationId(), new ClaimOutcome.Unavailable())));
  }

  void complete(ControlMessage.ClaimComplete message, Consumer<ControlMessage> reply) {
    proposeEnd(
        new ControlCommand.CompleteClaim(
            message.key(), message.attempt(), message.answer(), wallClockMillis.getAsLong()),
        message.correlationId(),
        reply);
  }

  void release(ControlMessage.ClaimRelease message, Consumer<ControlMessage> reply) {
    proposeEnd(
        new ControlCommand.ReleaseClaim(
            message.key(), message.attempt(), wallClockMillis.getAsLong()),
        message.correlationId(),
        reply);
  }

  /** Proposes a completion or release. Sends no reply on failure; the daemon then retries. */
  private void proposeEnd(
      ControlCommand command, long correlationId, Consumer<ControlMessage> reply) {
    log.propose(CommandCodec.encode(command), deadlineNanos(MAX_TIMEOUT_MILLIS))
        .whenResult(result -> reply.accept(new ControlMessage.ClaimEndReply(correlationId)));
  }

  private long deadlineNanos(long timeoutMillis) {
    long boundedMillis = Math.max(0, Math.min(MAX_TIMEOUT_MILLIS, timeoutMillis));
    return nanoClock.getAsLong() + boundedMillis * NANOS_PER_MILLI;
  }
}
