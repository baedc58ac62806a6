package org.cornelspoke.daemon.relay;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.cornelspoke.coordination.dissemination.ControlMessage;
import org.cornelspoke.state.claim.ClaimOutcome;
import org.cornelspoke.state.codec.CommandCodec;
import org.cornelspoke.state.codec.ControlCommand;
import org.cornelspoke.state.codec.ControlResult;

/** Puts the claims of attached daemons into the log. */
final class ClaimService {

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Bounds the work that one message can cause. */
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
    log.propose(CommandCodec.encode(command), deadline(request.timeoutMillis()))
        .map(result -> ((ControlResult.Claimed) CommandCodec.decodeResult(result)).outcome())
        .whenResult(
            outcome -> reply.accept(new ControlMessage.ClaimReply(request.correlation(), outcome)))
        .whenException(
            e ->
                reply.accept(
                    new ControlMessage.ClaimReply(
                        request.correlation(), new ClaimOutcome.Unavailable())));
  }

  void complete(ControlMessage.ClaimComplete message, Consumer<ControlMessage> reply) {
    end(
        new ControlCommand.CompleteClaim(
            message.key(), message.attempt(), message.answer(), wallClockMillis.getAsLong()),
        message.correlation(),
        reply);
  }

  void release(ControlMessage.ClaimRelease message, Consumer<ControlMessage> reply) {
    end(
        new ControlCommand.ReleaseClaim(
            message.key(), message.attempt(), wallClockMillis.getAsLong()),
        message.correlation(),
        reply);
  }

  /** Sends no reply after a failure; the daemon sends the message again. */
  private void end(ControlCommand command, long correlation, Consumer<ControlMessage> reply) {
    log.propose(CommandCodec.encode(command), deadline(MAX_TIMEOUT_MILLIS))
        .whenResult(result -> reply.accept(new ControlMessage.ClaimEndReply(correlation)));
  }

  private long deadline(long timeoutMillis) {
    long bounded = Math.max(0, Math.min(MAX_TIMEOUT_MILLIS, timeoutMillis));
    return nanoClock.getAsLong() + bounded * NANOS_PER_MILLI;
  }
}
