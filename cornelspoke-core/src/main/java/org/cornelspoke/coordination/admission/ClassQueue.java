package org.cornelspoke.coordination.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.state.config.ClassPolicy;

/**
 * Queue of one traffic class and kind of work of a gate with weighted fair queueing over accounts
 * by slot time used.
 *
 * <p>An account that becomes active starts at the virtual time of the class, so idle time earns no
 * credit. Admission charges the expected slot time and completion corrects it to the time actually
 * used.
 */
final class ClassQueue {

  /** Smoothing weight of a new service time; the mean covers about the last 50 requests. */
  static final double SERVICE_TIME_WEIGHT = 0.04;

  private static final double DEADLINE_REFUSAL_DECAY = 0.99;

  /**
   * Number of accounts above which idle ones are evicted. An account whose virtual time is ahead of
   * the class is kept until the class has caught up.
   */
  private static final int IDLE_EVICTION_THRESHOLD = 64;

  private static final long NEVER = Long.MIN_VALUE;

  private final Map<AccountId, AccountQueue> accounts = new HashMap<>();
  private final TrafficClass trafficClass;
  private final boolean begun;
  private ClassPolicy policy;
  private int waiting;
  private int inFlight;
  private double virtualTimeNanos;
  private double meanServiceNanos;
  private long queueingSinceNanos = NEVER;

  /**
   * Creates an empty queue.
   *
   * @param begun true for calls on behalf of admitted root requests, false for new requests
   */
  ClassQueue(TrafficClass trafficClass, boolean begun, ClassPolicy policy) {
    this.trafficClass = trafficClass;
    this.begun = begun;
    this.policy = policy;
  }

  TrafficClass trafficClass() {
    return trafficClass;
  }

  boolean isBegun() {
    return begun;
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

  double meanServiceNanos() {
    return meanServiceNanos;
  }

  void add(GateEntry entry, long nowNanos) {
    AccountQueue queue = accountOf(entry.request());
    if (queue.waiting() == 0) {
      queue.raiseVirtualTimeNanos(virtualTimeNanos);
    }
    queue.add(entry);
    waiting++;
    if (queueingSinceNanos == NEVER) {
      queueingSinceNanos = nowNanos;
    }
  }

  /**
   * Returns true if new requests have been queued without interruption for the given duration.
   * Calls of admitted chains are always served oldest first.
   */
  boolean isNewestFirst(long durationNanos, long nowNanos) {
    return !begun && queueingSinceNanos != NEVER && nowNanos - queueingSinceNanos >= durationNanos;
  }

  /** Removes and returns the entry to serve next, or returns null if none waits. */
  GateEntry pollNext(boolean newest) {
    AccountQueue next = null;
    for (AccountQueue queue : accounts.values()) {
      if (queue.waiting() > 0
          && (next == null || queue.virtualTimeNanos() < next.virtualTimeNanos())) {
        next = queue;
      }
    }
    if (next == null) {
      return null;
    }
    virtualTimeNanos = Math.max(virtualTimeNanos, next.virtualTimeNanos());
    return onRemoved(next.poll(newest));
  }

  /**
   * Removes and returns the entry with the lowest priority: the one that would be served last of
   * the account with the most waiting requests per weight. Returns null if none waits.
   */
  GateEntry pollLeastValuable(boolean newestFirst) {
    AccountQueue longest = longest();
    return longest == null ? null : onRemoved(longest.poll(!newestFirst));
  }

  /** Returns true if, with this request, its account has the most waiting requests per weight. */
  boolean isLongest(GateRequest request) {
    AccountQueue accountQueue = accounts.get(request.account());
    AccountQueue longest = longest();
    return longest == null
        || (accountQueue != null
            && accountQueue.waiting() > 0
            && (accountQueue.waiting() + 1.0) / request.weight() >= longest.waitingPerWeight());
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
    if (accounts.size() > IDLE_EVICTION_THRESHOLD) {
      accounts
          .values()
          .removeIf(queue -> queue.isIdle() && queue.virtualTimeNanos() <= virtualTimeNanos);
    }
    return expired;
  }

  void onAdmitted(GateRequest request, double expectedNanos) {
    AccountQueue queue = accountOf(request);
    if (queue.waiting() == 0) {
      queue.raiseVirtualTimeNanos(virtualTimeNanos);
    }
    queue.onAdmitted(expectedNanos);
    inFlight++;
  }

  void onCompleted(GateEntry entry, Completion completion, long nowNanos) {
    long heldNanos = entry.heldNanos(nowNanos);
    accounts.get(entry.request().account()).onCompleted(heldNanos, entry.chargedNanos());
    inFlight--;
    if (completion == Completion.SUCCESS) {
      meanServiceNanos =
          meanServiceNanos == 0
              ? heldNanos
              : meanServiceNanos + SERVICE_TIME_WEIGHT * (heldNanos - meanServiceNanos);
    } else if (completion == Completion.TIMEOUT && heldNanos > meanServiceNanos) {
      // The slot time until the timeout is a lower bound of the service time.
      meanServiceNanos += SERVICE_TIME_WEIGHT * (heldNanos - meanServiceNanos);
    }
  }

  /** Lowers the estimate after a refusal that it caused, so that requests can update it again. */
  void onDeadlineRefusal() {
    meanServiceNanos *= DEADLINE_REFUSAL_DECAY;
  }

  /**
   * Returns the estimated number of waiting requests of this class that are served before a new
   * request of the account in oldest-first order.
   */
  double expectedRequestsAhead(GateRequest request) {
    AccountQueue accountQueue = accounts.get(request.account());
    int accountWaiting = accountQueue == null ? 0 : accountQueue.waiting();
    double otherWeights = 0;
    for (AccountQueue queue : accounts.values()) {
      if (queue.waiting() > 0 && queue != accountQueue) {
        otherWeights += queue.weight();
      }
    }
    return Math.min(
        waiting, accountWaiting + (accountWaiting + 1.0) * otherWeights / request.weight());
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

  private GateEntry onRemoved(GateEntry entry) {
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
