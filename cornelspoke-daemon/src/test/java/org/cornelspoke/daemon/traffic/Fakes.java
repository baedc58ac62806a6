package org.cornelspoke.daemon.traffic;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.cornelspoke.coordination.admission.Completion;
import org.cornelspoke.coordination.admission.GateLoad;
import org.cornelspoke.coordination.admission.GateRequest;
import org.cornelspoke.coordination.admission.StatedRate;
import org.cornelspoke.coordination.admission.UpstreamGate;
import org.cornelspoke.coordination.dedup.ClaimClient;
import org.cornelspoke.coordination.retry.RetryBudgets;
import org.cornelspoke.coordination.retry.RetryThrottle;
import org.cornelspoke.coordination.routing.RequestKind;
import org.cornelspoke.coordination.routing.TargetSelector;
import org.cornelspoke.model.CallId;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.state.claim.ClaimKey;
import org.cornelspoke.state.claim.ClaimOutcome;
import org.cornelspoke.state.claim.StoredResponse;
import org.cornelspoke.state.config.Preset;
import org.cornelspoke.state.registry.Target;
import org.cornelspoke.state.registry.TargetState;

/** Minimal implementations of the collaborators of the traffic path. */
final class Fakes {

  private Fakes() {}

  /**
   * Admits requests in FIFO order up to the announced slots and refuses them when its queue is
   * full. Throws if a listener re-enters the gate, because a real gate may be in the middle of a
   * state change.
   */
  static final class SlotGate implements UpstreamGate {

    private record Waiting(UpstreamGate.Listener listener) implements Ticket {}

    private final Deque<Waiting> queue = new ArrayDeque<>();
    private int slots;
    private static final int MAX_QUEUE_LENGTH = 20;

    private int inFlight;
    private boolean draining;
    private boolean entered;

    private final Consumer<GateRequest> submitted;

    SlotGate(int slots, Consumer<GateRequest> submitted) {
      this.slots = slots;
      this.submitted = submitted;
    }

    @Override
    public Ticket submit(GateRequest request, UpstreamGate.Listener listener, long nowNanos) {
      Waiting ticket = new Waiting(listener);
      submitted.accept(request);
      enter();
      if (draining) {
        listener.onRefused(RefusalReason.DRAINING, 1_000);
      } else if (inFlight < slots) {
        inFlight++;
        listener.onAdmitted();
      } else if (queue.size() < MAX_QUEUE_LENGTH) {
        queue.add(ticket);
      } else {
        listener.onRefused(RefusalReason.OVERLOAD, 1_000);
      }
      entered = false;
      return ticket;
    }

    @Override
    public void complete(Ticket ticket, Completion completion, long nowNanos) {
      enter();
      inFlight--;
      if (!queue.isEmpty()) {
        inFlight++;
        queue.remove().listener().onAdmitted();
      }
      entered = false;
    }

    private void enter() {
      if (entered) {
        throw new IllegalStateException("listener re-entered the gate");
      }
      entered = true;
    }

    @Override
    public boolean cancel(Ticket ticket, long nowNanos) {
      return queue.removeIf(waiting -> waiting == ticket);
    }

    @Override
    public void onTick(long nowNanos) {}

    @Override
    public void applyPreset(Preset preset) {}

    @Override
    public void setAnnouncedSlots(int newSlots) {
      slots = newSlots;
    }

    @Override
    public void setRateLimit(Optional<StatedRate> rate, long nowNanos) {}

    @Override
    public void setDraining(boolean newDraining) {
      draining = newDraining;
    }

    @Override
    public void setEvacuated(boolean newEvacuated) {}

    @Override
    public GateLoad load() {
      return new GateLoad(inFlight, queue.size(), slots);
    }
  }

  /** Selects the first available target that has not been tried, in the order of the view. */
  static final class FirstUntriedSelector implements TargetSelector {

    private Map<ServiceName, List<Target>> targets = Map.of();

    @Override
    public void setTargets(Map<ServiceName, List<Target>> newTargets, long nowNanos) {
      targets = newTargets;
    }

    @Override
    public Optional<Target> select(ServiceName service, Set<TargetId> excluded, long nowNanos) {
      return targets.getOrDefault(service, List.of()).stream()
          .filter(target -> target.state() == TargetState.UP && !excluded.contains(target.id()))
          .findFirst();
    }

    @Override
    public void onResult(
        TargetId target,
        RequestKind kind,
        AttemptResult result,
        long latencyNanos,
        long nowNanos) {}

    @Override
    public void onLoad(TargetId target, GateLoad load, long nowNanos) {}
  }

  /** Lends half of the remaining attempts, rounded up. */
  static final class HalvingRetryBudgets implements RetryBudgets {

    private final Map<CallId, Integer> remainingAttempts = new HashMap<>();

    @Override
    public void open(CallId call, int extraAttempts) {
      remainingAttempts.put(call, extraAttempts);
    }

    @Override
    public int borrow(CallId parent) {
      int available = remainingAttempts.getOrDefault(parent, 0);
      int lent = (available + 1) / 2;
      remainingAttempts.computeIfPresent(parent, (call, value) -> value - lent);
      return lent;
    }

    @Override
    public void returnUnused(CallId parent, int unusedAttempts) {
      remainingAttempts.computeIfPresent(parent, (call, value) -> value + unusedAttempts);
    }

    @Override
    public int close(CallId call) {
      Integer unused = remainingAttempts.remove(call);
      return unused == null ? 0 : unused;
    }
  }

  /** Allows every retry. */
  static final class UnlimitedRetryThrottle implements RetryThrottle {

    @Override
    public void onRequest(long nowNanos) {}

    @Override
    public boolean tryRetry(long nowNanos) {
      return true;
    }

    @Override
    public void setRatio(double ratio) {}
  }

  /** Stores claims in memory; shared by the daemons of a test. */
  static final class InMemoryClaimClient implements ClaimClient {

    private record Claim(CallId attempt, String fingerprintHex, ClaimOutcome outcome) {}

    private final Map<ClaimKey, Claim> claims = new HashMap<>();
    volatile boolean available = true;

    @Override
    public synchronized void claim(
        ClaimKey key,
        CallId attempt,
        String fingerprintHex,
        long deadlineNanos,
        ClaimClient.Listener listener) {
      Claim claim = claims.get(key);
      if (!available) {
        listener.onOutcome(new ClaimOutcome.Unavailable());
      } else if (claim == null) {
        claims.put(key, new Claim(attempt, fingerprintHex, new ClaimOutcome.Running()));
        listener.onOutcome(new ClaimOutcome.Granted());
      } else if (!claim.fingerprintHex().equals(fingerprintHex)) {
        listener.onOutcome(new ClaimOutcome.Mismatch());
      } else {
        listener.onOutcome(claim.outcome());
      }
    }

    @Override
    public synchronized void complete(
        ClaimKey key, CallId attempt, Optional<StoredResponse> response) {
      ClaimOutcome outcome =
          response
              .<ClaimOutcome>map(ClaimOutcome.Completed::new)
              .orElseGet(ClaimOutcome.CompletedWithoutResponse::new);
      claims.computeIfPresent(
          key, (k, claim) -> new Claim(attempt, claim.fingerprintHex(), outcome));
    }

    @Override
    public synchronized void release(ClaimKey key, CallId attempt) {
      claims.computeIfPresent(key, (k, claim) -> claim.attempt().equals(attempt) ? null : claim);
    }

    synchronized int size() {
      return claims.size();
    }
  }
}
