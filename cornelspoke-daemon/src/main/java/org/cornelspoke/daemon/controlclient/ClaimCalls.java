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
final class ClaimCalls {

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** The relay repeats a proposal for 10 s, so an earlier copy would only add load. */
  private static final long RESEND_MILLIS = 12_000;

  /** A completion that could not be recorded for this long is given up; the claim stays. */
  private static final long GIVE_UP_MILLIS = 10L * 60 * 1_000;

  private static final int MAX_ENDS = 100_000;

  private final Reactor reactor;
  private final LongSupplier nanoClock;
  private final Consumer<ControlMessage> sender;
  private final Map<Long, Waiting> waiting = new HashMap<>();
  private final Map<Long, End> ends = new LinkedHashMap<>();
  private long correlation;

  private record Waiting(
      ClaimKey key,
      CallId attempt,
      String fingerprintHex,
      long deadlineNanos,
      ScheduledRunnable timer,
      Consumer<ClaimOutcome> listener) {}

  private record End(ControlMessage message, long createdAtNanos, long sentAtNanos) {}

  ClaimCalls(Reactor reactor, LongSupplier nanoClock, Consumer<ControlMessage> sender) {
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
    long id = ++correlation;
    ScheduledRunnable timer = reactor.delayBackground(millisTo(deadlineNanos), () -> giveUp(id));
    Waiting call = new Waiting(key, attempt, fingerprintHex, deadlineNanos, timer, listener);
    waiting.put(id, call);
    sender.accept(request(id, call));
  }

  /** Sends a completion or release until it is confirmed. */
  void end(LongFunction<ControlMessage> message) {
    long id = ++correlation;
    long now = nanoClock.getAsLong();
    End end = new End(message.apply(id), now, now);
    if (ends.size() < MAX_ENDS) {
      ends.put(id, end);
    }
    sender.accept(end.message());
  }

  void onReply(ControlMessage.ClaimReply reply) {
    Waiting call = waiting.get(reply.correlation());
    if (call == null) {
      return;
    }
    if (reply.outcome() instanceof ClaimOutcome.Unavailable) {
      // The deadline decides: another relay may still answer before it.
      return;
    }
    waiting.remove(reply.correlation());
    call.timer().cancel();
    call.listener().accept(reply.outcome());
  }

  void onEndReply(ControlMessage.ClaimEndReply reply) {
    ends.remove(reply.correlation());
  }

  /** Sends everything that is not answered to a new relay. */
  void onAttached() {
    waiting.forEach((id, call) -> sender.accept(request(id, call)));
    resend(0);
  }

  void onTick() {
    resend(RESEND_MILLIS);
  }

  private void resend(long afterMillis) {
    long now = nanoClock.getAsLong();
    ends.values().removeIf(end -> now - end.createdAtNanos() > GIVE_UP_MILLIS * NANOS_PER_MILLI);
    List<Long> due = new ArrayList<>();
    ends.forEach(
        (id, end) -> {
          if (now - end.sentAtNanos() >= afterMillis * NANOS_PER_MILLI) {
            due.add(id);
          }
        });
    for (long id : due) {
      End end = ends.get(id);
      ends.put(id, new End(end.message(), end.createdAtNanos(), now));
      sender.accept(end.message());
    }
  }

  private void giveUp(long id) {
    Waiting call = waiting.remove(id);
    if (call != null) {
      // The claim may have been placed. The caller is told "not run", so it must not stay.
      end(correlationId -> release(correlationId, call));
      call.listener().accept(new ClaimOutcome.Unavailable());
    }
  }

  private static ControlMessage release(long id, Waiting call) {
    return new ControlMessage.ClaimRelease(id, call.key(), call.attempt());
  }

  private ControlMessage request(long id, Waiting call) {
    return new ControlMessage.ClaimRequest(
        id, call.key(), call.attempt(), call.fingerprintHex(), millisTo(call.deadlineNanos()));
  }

  private long millisTo(long deadlineNanos) {
    return Math.max(0, (deadlineNanos - nanoClock.getAsLong()) / NANOS_PER_MILLI);
  }
}
