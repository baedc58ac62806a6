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
 * Claim requests without a reply, and unconfirmed ends of claims, that is completions and releases.
 * All of them are sent again to the next relay, which is safe because the attempt id makes them
 * idempotent.
 */
final class PendingClaims {

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** The relay retries a proposal for 10 s, so sending it again earlier would only add load. */
  private static final long RESEND_INTERVAL_MILLIS = 12_000;

  /** Time after which an unconfirmed end is no longer sent again; the claim then remains. */
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

  private record PendingEnd(
      ControlMessage message, Runnable onConfirmed, long createdAtNanos, long lastSentAtNanos) {}

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
    sender.accept(createRequest(id, claim));
  }

  /** Sends a message that ends a claim or reports a crash repeatedly until it is confirmed. */
  void sendEnd(LongFunction<ControlMessage> message) {
    sendEnd(message, () -> {});
  }

  /** Sends a message repeatedly until it is confirmed, and then runs the action. */
  void sendEnd(LongFunction<ControlMessage> message, Runnable onConfirmed) {
    long id = ++lastCorrelationId;
    long nowNanos = nanoClock.getAsLong();
    PendingEnd end = new PendingEnd(message.apply(id), onConfirmed, nowNanos, nowNanos);
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
      // Keep the claim until its deadline; another relay may still reply in time.
      return;
    }
    pendingClaims.remove(reply.correlationId());
    claim.timer().cancel();
    claim.listener().accept(reply.outcome());
  }

  void onEndReply(ControlMessage.ClaimEndReply reply) {
    PendingEnd end = pendingEnds.remove(reply.correlationId());
    if (end != null) {
      end.onConfirmed().run();
    }
  }

  /** Sends all pending claims and ends to a new relay. */
  void onAttached() {
    pendingClaims.forEach((id, claim) -> sender.accept(createRequest(id, claim)));
    resend(0);
  }

  /** Sends all unconfirmed messages again, because some were withheld from the relay. */
  void resendEnds() {
    resend(0);
  }

  void onTick() {
    resend(RESEND_INTERVAL_MILLIS);
  }

  private void resend(long minIntervalMillis) {
    long nowNanos = nanoClock.getAsLong();
    pendingEnds
        .values()
        .removeIf(end -> nowNanos - end.createdAtNanos() > END_TIMEOUT_MILLIS * NANOS_PER_MILLI);
    List<Long> dueIds = new ArrayList<>();
    pendingEnds.forEach(
        (id, end) -> {
          if (nowNanos - end.lastSentAtNanos() >= minIntervalMillis * NANOS_PER_MILLI) {
            dueIds.add(id);
          }
        });
    for (long id : dueIds) {
      PendingEnd end = pendingEnds.get(id);
      pendingEnds.put(
          id, new PendingEnd(end.message(), end.onConfirmed(), end.createdAtNanos(), nowNanos));
      sender.accept(end.message());
    }
  }

  private void onClaimTimeout(long id) {
    PendingClaim claim = pendingClaims.remove(id);
    if (claim != null) {
      // The claim may have been granted. Release it, because the caller will not run the request.
      sendEnd(correlationId -> createRelease(correlationId, claim));
      claim.listener().accept(new ClaimOutcome.Unavailable());
    }
  }

  private static ControlMessage createRelease(long id, PendingClaim claim) {
    return new ControlMessage.ClaimRelease(id, claim.key(), claim.attempt());
  }

  private ControlMessage createRequest(long id, PendingClaim claim) {
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
