package org.cornelspoke.coordination.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.state.config.ClassPolicy;

/**
 * One traffic class of a gate: fair queueing over accounts by slot time used.
 *
 * <p>An account that becomes busy starts at the virtual time of the class, so idle time is not
 * saved up. At admission the expected slot time is charged and at completion the difference to the
 * time really used.
 */
final class ClassQueue {

  /** Weight of a new service time; about the last 50 requests count. */
  private static final double SERVICE_WEIGHT = 0.04;

  private static final double REFUSAL_DECAY = 0.99;

  /** Accounts that are kept although idle; more are removed when their debt is paid. */
  private static final int MAX_IDLE_ACCOUNTS = 64;

  private static final long NEVER = Long.MIN_VALUE;

  private final Map<AccountId, AccountQueue> accounts = new HashMap<>();
  private ClassPolicy policy;
  private int waiting;
  private int inFlight;
  private double virtualNanos;
  private double serviceNanos;
  private long queueingSinceNanos = NEVER;

  ClassQueue(ClassPolicy policy) {
    this.policy = policy;
  }

  ClassPolicy policy() {
    return policy;
  }

  void setPolicy(ClassPolicy policy) {
    this.policy = policy;
  }

  int waiting() {
    return waiting;
  }

  int inFlight() {
    return inFlight;
  }

  double serviceNanos() {
    return serviceNanos;
  }

  void add(GateEntry entry, long nowNanos) {
    AccountQueue queue = accountOf(entry.request());
    if (queue.waiting() == 0) {
      queue.raiseVirtualNanos(virtualNanos);
    }
    queue.add(entry);
    waiting++;
    if (queueingSinceNanos == NEVER) {
      queueingSinceNanos = nowNanos;
    }
  }

  /** Returns true after uninterrupted queueing for the given time. */
  boolean newestFirst(long afterNanos, long nowNanos) {
    return queueingSinceNanos != NEVER && nowNanos - queueingSinceNanos >= afterNanos;
  }

  /** Removes the waiting entry that is served next, or returns null if none waits. */
  GateEntry pollNext(boolean newest) {
    AccountQueue next = null;
    for (AccountQueue queue : accounts.values()) {
      if (queue.waiting() > 0 && (next == null || queue.virtualNanos() < next.virtualNanos())) {
        next = queue;
      }
    }
    if (next == null) {
      return null;
    }
    virtualNanos = Math.max(virtualNanos, next.virtualNanos());
    return removed(next.poll(newest));
  }

  /**
   * Removes the entry that is worth least: of the account that waits with most requests for its
   * weight, the one that would be served last.
   */
  GateEntry pollLeastValuable(boolean newestFirst) {
    AccountQueue longest = longest();
    return longest == null ? null : removed(longest.poll(!newestFirst));
  }

  /** Returns true if the account waits with at least as many requests per weight as any other. */
  boolean isLongest(GateRequest request) {
    AccountQueue own = accounts.get(request.account());
    AccountQueue longest = longest();
    return longest == null
        || (own != null
            && own.waiting() > 0
            && (own.waiting() + 1.0) / request.weight() >= longest.waitingPerWeight());
  }

  void onCancelled(GateEntry entry) {
    accounts.get(entry.request().account()).onCancelled();
    waiting--;
    clearQueueingIfEmpty();
  }

  List<GateEntry> removeExpired(long nowNanos, double minServiceNanos) {
    List<GateEntry> expired = new ArrayList<>();
    for (AccountQueue queue : accounts.values()) {
      expired.addAll(queue.removeExpired(nowNanos, minServiceNanos));
    }
    waiting -= expired.size();
    clearQueueingIfEmpty();
    if (accounts.size() > MAX_IDLE_ACCOUNTS) {
      accounts.values().removeIf(q -> q.isIdle() && q.virtualNanos() <= virtualNanos);
    }
    return expired;
  }

  void onAdmitted(GateRequest request, double expectedNanos) {
    AccountQueue queue = accountOf(request);
    if (queue.waiting() == 0) {
      queue.raiseVirtualNanos(virtualNanos);
    }
    queue.onAdmitted(expectedNanos);
    inFlight++;
  }

  void onCompleted(GateEntry entry, Completion completion, long nowNanos) {
    long heldNanos = entry.heldNanos(nowNanos);
    accounts.get(entry.request().account()).onCompleted(heldNanos, entry.chargedNanos());
    inFlight--;
    if (completion == Completion.SUCCESS) {
      serviceNanos =
          serviceNanos == 0
              ? heldNanos
              : serviceNanos + SERVICE_WEIGHT * (heldNanos - serviceNanos);
    } else if (completion == Completion.TIMEOUT && heldNanos > serviceNanos) {
      // The service time is at least the time held, however long it would have been.
      serviceNanos += SERVICE_WEIGHT * (heldNanos - serviceNanos);
    }
  }

  /** Lowers the estimate a little after a refusal that it caused, so that it is measured again. */
  void onDeadlineRefusal() {
    serviceNanos *= REFUSAL_DECAY;
  }

  /**
   * Returns how many waiting requests of this class are served before a new one of the account, if
   * oldest are served first.
   */
  double expectedAhead(GateRequest request) {
    AccountQueue own = accounts.get(request.account());
    int ownWaiting = own == null ? 0 : own.waiting();
    double weights = 0;
    for (AccountQueue queue : accounts.values()) {
      if (queue.waiting() > 0 && queue != own) {
        weights += queue.weight();
      }
    }
    return Math.min(waiting, ownWaiting + (ownWaiting + 1.0) * weights / request.weight());
  }

  private AccountQueue accountOf(GateRequest request) {
    return accounts.computeIfAbsent(request.account(), id -> new AccountQueue());
  }

  private AccountQueue longest() {
    AccountQueue longest = null;
    for (AccountQueue queue : accounts.values()) {
      if (queue.waiting() > 0
          && (longest == null || queue.waitingPerWeight() > longest.waitingPerWeight())) {
        longest = queue;
      }
    }
    return longest;
  }

  private GateEntry removed(GateEntry entry) {
    waiting--;
    clearQueueingIfEmpty();
    return entry;
  }

  private void clearQueueingIfEmpty() {
    if (waiting == 0) {
      queueingSinceNanos = NEVER;
    }
  }
}
