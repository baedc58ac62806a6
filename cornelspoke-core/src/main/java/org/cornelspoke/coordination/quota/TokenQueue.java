package org.cornelspoke.coordination.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.cornelspoke.model.TrafficClass;

/** Requests that wait for a token, by class; within a class, returning requests come first. */
final class TokenQueue {

  private static final int MAX_WAITING = 10_000;

  private record ClassQueue(Deque<TokenWaiter> returning, Deque<TokenWaiter> others) {

    ClassQueue() {
      this(new ArrayDeque<>(), new ArrayDeque<>());
    }

    int size() {
      return returning.size() + others.size();
    }

    boolean isEmpty() {
      return returning.isEmpty() && others.isEmpty();
    }

    Deque<TokenWaiter> first() {
      return returning.isEmpty() ? others : returning;
    }
  }

  private final Map<TrafficClass, ClassQueue> waiters = new EnumMap<>(TrafficClass.class);
  private int size;

  TokenQueue() {
    for (TrafficClass trafficClass : TrafficClass.values()) {
      waiters.put(trafficClass, new ClassQueue());
    }
  }

  int size() {
    return size;
  }

  /** Returns the number of waiting requests by class. */
  ClassAmounts sizeByClass() {
    ClassAmounts sizes = ClassAmounts.NONE;
    for (Map.Entry<TrafficClass, ClassQueue> entry : waiters.entrySet()) {
      sizes = sizes.plus(entry.getKey(), entry.getValue().size());
    }
    return sizes;
  }

  boolean isEmpty() {
    return size == 0;
  }

  /** Returns true if a request is waiting that is served before the given one. */
  boolean hasAhead(TokenWaiter request) {
    for (Map.Entry<TrafficClass, ClassQueue> entry : waiters.entrySet()) {
      ClassQueue queue = entry.getValue();
      if (entry.getKey().outranks(request.trafficClass()) && !queue.isEmpty()) {
        return true;
      }
      if (entry.getKey() == request.trafficClass()) {
        return request.returning() ? !queue.returning().isEmpty() : !queue.isEmpty();
      }
    }
    return false;
  }

  /** Adds a request, or returns false if the queue is full. */
  boolean add(TokenWaiter request) {
    if (size >= MAX_WAITING) {
      return false;
    }
    ClassQueue queue = waiters.get(request.trafficClass());
    (request.returning() ? queue.returning() : queue.others()).add(request);
    size++;
    return true;
  }

  /** Returns the request that is served next: the oldest one of the highest class. */
  TokenWaiter peek() {
    return next().peek();
  }

  /** Removes the request that is served next. */
  TokenWaiter poll() {
    TokenWaiter request = next().poll();
    size--;
    return request;
  }

  private Deque<TokenWaiter> next() {
    for (ClassQueue queue : waiters.values()) {
      if (!queue.isEmpty()) {
        return queue.first();
      }
    }
    throw new IllegalStateException("no request is waiting");
  }

  /** Removes and returns the requests whose deadline has passed. */
  List<TokenWaiter> removeExpired(long nowNanos) {
    List<TokenWaiter> expired = new ArrayList<>();
    for (ClassQueue queue : waiters.values()) {
      removeExpired(queue.returning(), expired, nowNanos);
      removeExpired(queue.others(), expired, nowNanos);
    }
    size -= expired.size();
    return expired;
  }

  private static void removeExpired(
      Deque<TokenWaiter> queue, List<TokenWaiter> expired, long nowNanos) {
    for (Iterator<TokenWaiter> iterator = queue.iterator(); iterator.hasNext(); ) {
      TokenWaiter request = iterator.next();
      if (nowNanos - request.deadlineNanos() >= 0) {
        iterator.remove();
        expired.add(request);
      }
    }
  }

  /**
   * Removes and returns the newest requests of the exhausted classes, up to the given number of
   * each class. Returning requests stay: they were promised a token.
   */
  List<TokenWaiter> removeNewest(Exhaustion exhaustion, ClassAmounts requests) {
    List<TokenWaiter> removed = new ArrayList<>();
    for (Map.Entry<TrafficClass, ClassQueue> entry : waiters.entrySet()) {
      if (exhaustion.includes(entry.getKey())) {
        Deque<TokenWaiter> queue = entry.getValue().others();
        long unserved =
            Math.round(requests.of(entry.getKey())) - entry.getValue().returning().size();
        long count = Math.min(unserved, queue.size());
        for (long i = 0; i < count; i++) {
          removed.add(queue.pollLast());
        }
      }
    }
    size -= removed.size();
    return removed;
  }
}
