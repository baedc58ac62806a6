package org.cornelspoke.coordination.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.cornelspoke.model.TrafficClass;

/** Requests that wait for a token, by class. */
final class TokenQueue {

  private static final int MAX_WAITING = 10_000;

  private record Waiter(long deadlineNanos, RateLimiter.Listener listener) {}

  private final Map<TrafficClass, Deque<Waiter>> waiters = new EnumMap<>(TrafficClass.class);
  private int size;

  TokenQueue() {
    for (TrafficClass trafficClass : TrafficClass.values()) {
      waiters.put(trafficClass, new ArrayDeque<>());
    }
  }

  int size() {
    return size;
  }

  /** Returns the number of waiting requests by class. */
  ClassAmounts sizeByClass() {
    ClassAmounts sizes = ClassAmounts.NONE;
    for (Map.Entry<TrafficClass, Deque<Waiter>> entry : waiters.entrySet()) {
      sizes = sizes.plus(entry.getKey(), entry.getValue().size());
    }
    return sizes;
  }

  boolean isEmpty() {
    return size == 0;
  }

  /** Returns true if a request of this class or a higher one is waiting. */
  boolean hasAtOrAbove(TrafficClass trafficClass) {
    for (Map.Entry<TrafficClass, Deque<Waiter>> entry : waiters.entrySet()) {
      if (!trafficClass.outranks(entry.getKey()) && !entry.getValue().isEmpty()) {
        return true;
      }
    }
    return false;
  }

  /** Adds a request, or returns false if the queue is full. */
  boolean add(TrafficClass trafficClass, long deadlineNanos, RateLimiter.Listener listener) {
    if (size >= MAX_WAITING) {
      return false;
    }
    waiters.get(trafficClass).add(new Waiter(deadlineNanos, listener));
    size++;
    return true;
  }

  /** Removes the oldest request of the highest class. */
  RateLimiter.Listener poll() {
    for (Deque<Waiter> queue : waiters.values()) {
      if (!queue.isEmpty()) {
        size--;
        return queue.poll().listener();
      }
    }
    throw new IllegalStateException("no request is waiting");
  }

  /** Refuses the requests whose deadline has passed. */
  void refuseExpired(long nowNanos, long retryAfterMillis) {
    List<RateLimiter.Listener> expired = new ArrayList<>();
    for (Deque<Waiter> queue : waiters.values()) {
      for (Iterator<Waiter> iterator = queue.iterator(); iterator.hasNext(); ) {
        Waiter waiter = iterator.next();
        if (nowNanos - waiter.deadlineNanos() >= 0) {
          iterator.remove();
          size--;
          expired.add(waiter.listener());
        }
      }
    }
    refuse(expired, retryAfterMillis);
  }

  /** Refuses the newest requests of the exhausted classes, up to the given number of each class. */
  void refuseNewest(Exhaustion exhaustion, ClassAmounts requests, long retryAfterMillis) {
    List<RateLimiter.Listener> refused = new ArrayList<>();
    for (Map.Entry<TrafficClass, Deque<Waiter>> entry : waiters.entrySet()) {
      if (exhaustion.includes(entry.getKey())) {
        long count = Math.min(Math.round(requests.of(entry.getKey())), entry.getValue().size());
        for (long i = 0; i < count; i++) {
          refused.add(entry.getValue().pollLast().listener());
          size--;
        }
      }
    }
    refuse(refused, retryAfterMillis);
  }

  /**
   * Called after the queue was updated, since a listener may add the next request of its caller.
   */
  private static void refuse(List<RateLimiter.Listener> listeners, long retryAfterMillis) {
    listeners.forEach(listener -> listener.onRefused(retryAfterMillis));
  }
}
