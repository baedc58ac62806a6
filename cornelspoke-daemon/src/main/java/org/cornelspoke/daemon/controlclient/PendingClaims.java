package org.cornelspoke.daemon.controlclient;

import io.activej.reactor.Reactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;
import org.cornelspoke.coordination.dissemination.ControlMessage;
import org.cornelspoke.model.CallId;
import org.cornelspoke.state.claim.ClaimKey;
import org.cornelspoke.state.claim.ClaimOutcome;

/**
 * Claims that wait for an answer, and completions and releases that wait for their confirmation.
 * Both are sent again to the next relay; the attempt id makes that harmless.
 */
final class PendingClaims {

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** The relay repeats a proposal for 10 s, so an earlier copy would only add load. */
  private static final long RESEND_INTERVAL_MILLIS = 12_000;

  /** A completion that could not be recorded for this long is given up; the claim stays. */
  private static final long END_TIMEOUT_MILLIS = 10L * 60 * 1_000;

  private static final int MAX_PENDING_ENDS = 100_000;

  private final Reactor reactor;
  private final LongSupplier nanoClock;
  private final Consumer<ControlMessage> sender;
  private final Map<Long, PendingClaim> pendingClaims = new HashMap<>();
  private final Map<Long, PendingEnd> pendingEnds = new LinkedHashMap<>();
  private long lastCorrelationId;

  private record PendingClaim(
      ClaimKey key,
      CallId attempt,
      String fingerprintHex,
      long deadlineNanos,
      ScheduledRunnable timer,
      Consumer<ClaimOutcome> listener) {}

  private record PendingEnd(ControlMessage message, long createdAtNanos, long sentAtNanos) {}

  PendingClaims(Reactor reactor, LongSupplier nanoClock, Consumer<ControlMessage> sender) {
    this.reactor = reactor;
    this.nanoClock = nanoClock;
    this.sender = sender;
  }

  void claim(
      ClaimKey key,
      CallId attempt,
      String fingerprintHex,
      long deadlineNanos,
      Consumer<ClaimOutcome> listener) {
    long id = ++lastCorrelationId;
    ScheduledRunnable timer =
        reactor.delayBackground(millisUntil(deadlineNanos), () -> onClaimTimeout(id));
    PendingClaim claim =
        new PendingClaim(key, attempt, fingerprintHex, deadlineNanos, timer, listener);
    pendingClaims.put(id, claim);
    sender.accept(request(id, claim));
  }

  /** Sends a completion or release until it is confirmed. */
  void sendEnd(LongFunction<ControlMessage> message) {
    long id = ++lastCorrelationId;
    long nowNanos = nanoClock.getAsLong();
    PendingEnd end = new PendingEnd(message.apply(id), nowNanos, nowNanos);
    if (pendingEnds.size() < MAX_PENDING_ENDS) {
      pendingEnds.put(id, end);
    }
    sender.accept(end.message());
  }

  void onReply(ControlMessage.ClaimReply reply) {
    PendingClaim claim = pendingClaims.get(reply.correlationId());
    if (claim == null) {
      return;
    }
    if (reply.outcome() instanceof ClaimOutcome.Unavailable) {
      // The deadline decides: another relay may still answer before it.
      return;
    }
    pendingClaims.remove(reply.correlationId());
    claim.timer().cancel();
    claim.listener().accept(reply.outcome());
  }

  void onEndReply(ControlMessage.ClaimEndReply reply) {
    pendingEnds.remove(reply.correlationId());
  }

  /** Sends everything that is not answered to a new relay. */
  void onAttached() {
    pendingClaims.forEach((id, claim) -> sender.accept(request(id, claim)));
    resend(0);
  }

  void onTick() {
    resend(RESEND_INTERVAL_MILLIS);
  }

  private void resend(long afterMillis) {
    long nowNanos = nanoClock.getAsLong();
    pendingEnds
        .values()
        .removeIf(end -> nowNanos - end.createdAtNanos() > END_TIMEOUT_MILLIS * NANOS_PER_MILLI);
    List<Long> due = new ArrayList<>();
    pendingEnds.forEach(
        (id, end) -> {
          if (nowNanos - end.sentAtNanos() >= afterMillis * NANOS_PER_MILLI) {
            due.add(id);
          }
        });
    for (long id : due) {
      PendingEnd end = pendingEnds.get(id);
      pendingEnds.put(id, new PendingEnd(end.message(), end.createdAtNanos(), nowNanos));
      sender.accept(end.message());
    }
  }

  private void onClaimTimeout(long id) {
    PendingClaim claim = pendingClaims.remove(id);
    if (claim != null) {
      // The claim may have been placed. The caller is told "not run", so it must not stay.
      sendEnd(correlationId -> release(correlationId, claim));
      claim.listener().accept(new ClaimOutcome.Unavailable());
    }
  }

  private static ControlMessage release(long id, PendingClaim claim) {
    return new ControlMessage.ClaimRelease(id, claim.key(), claim.attempt());
  }

  private ControlMessage request(long id, PendingClaim claim) {
    return new ControlMessage.ClaimRequest(
        id,
        claim.key(),
        claim.attempt(),
        claim.fingerprintHex(),
        millisUntil(claim.deadlineNanos()));
  }

  private long millisUntil(long deadlineNanos) {
    return Math.max(0, (deadlineNanos - nanoClock.getAsLong()) / NANOS_PER_MILLI);
  }
}
