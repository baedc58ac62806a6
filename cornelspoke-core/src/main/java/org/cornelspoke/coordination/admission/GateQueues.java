package org.cornelspoke.coordination.admission;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.state.config.ClassPolicy;
import org.cornelspoke.state.config.Preset;

/**
 * The queues of a gate in order of priority: by class, and within a class the calls of admitted
 * chains before new requests. The two kinds have queues of their own, because their service times
 * differ by an order of magnitude and the waits are estimated from them.
 *
 * <p>Protects against chains that fail after most of their work is done, without letting calls of a
 * low class delay new requests of a high one. A call of an admitted chain isn't subject to the slot
 * share of its class, which is enforced where its root request enters. Each class below the highest
 * one has a part of the slots in which its calls come first, so that a surge of higher classes
 * doesn't starve the chains that were admitted before it.
 */
final class GateQueues {

  /** Part of the slots in which calls of admitted chains of one class are served first. */
  static final double BEGUN_FRACTION = 0.2;

  private static final TrafficClass[] CLASSES = TrafficClass.values();

  private final double interactiveFraction;
  private final List<ClassQueue> inOrder = new ArrayList<>();
  private final Map<TrafficClass, ClassQueue> begun = new EnumMap<>(TrafficClass.class);
  private final Map<TrafficClass, ClassQueue> fresh = new EnumMap<>(TrafficClass.class);

  GateQueues(Preset preset, double interactiveFraction) {
    this.interactiveFraction = interactiveFraction;
    for (TrafficClass trafficClass : CLASSES) {
      begun.put(
          trafficClass, new ClassQueue(trafficClass, true, begunPolicy(preset, trafficClass)));
      fresh.put(trafficClass, new ClassQueue(trafficClass, false, preset.policyOf(trafficClass)));
      inOrder.add(begun.get(trafficClass));
      inOrder.add(fresh.get(trafficClass));
    }
  }

  void applyPreset(Preset preset) {
    for (ClassQueue queue : inOrder) {
      TrafficClass trafficClass = queue.trafficClass();
      queue.setPolicy(
          queue.isBegun() ? begunPolicy(preset, trafficClass) : preset.policyOf(trafficClass));
    }
  }

  ClassQueue of(GateRequest request) {
    return request.begun() ? begun.get(request.trafficClass()) : fresh.get(request.trafficClass());
  }

  /** Returns all queues, highest priority first. */
  List<ClassQueue> inOrder() {
    return Collections.unmodifiableList(inOrder);
  }

  int waiting() {
    int waiting = 0;
    for (ClassQueue queue : inOrder) {
      waiting += queue.waiting();
    }
    return waiting;
  }

  /** Returns the waiting calls of admitted chains and new requests of the highest class. */
  int urgentWaiting() {
    int waiting = fresh.get(TrafficClass.CRITICAL).waiting();
    for (TrafficClass trafficClass : CLASSES) {
      waiting += begun.get(trafficClass).waiting();
    }
    return waiting;
  }

  /**
   * Returns the queue to serve next, or null if nothing that waits may use a free slot.
   *
   * @param usableSlots slots that can be in use at the same time under a stated rate
   */
  ClassQueue nextToServe(int inFlight, int limit, int usableSlots) {
    if (inFlight >= limit) {
      return null;
    }
    ClassQueue interactive = fresh.get(TrafficClass.INTERACTIVE);
    if (interactive.waiting() > 0 && interactive.inFlight() < interactiveFraction * usableSlots) {
      return interactive;
    }
    for (ClassQueue queue : inOrder) {
      if (hasReserve(queue)
          && queue.waiting() > 0
          && queue.inFlight() < BEGUN_FRACTION * usableSlots) {
        return queue;
      }
    }
    for (ClassQueue queue : inOrder) {
      if (queue.waiting() > 0 && hasFreeSlot(queue, inFlight, limit)) {
        return queue;
      }
    }
    return null;
  }

  boolean hasFreeSlot(ClassQueue queue, int inFlight, int limit) {
    if (inFlight >= limit) {
      return false;
    }
    if (queue.isBegun()) {
      return true;
    }
    int held = 0;
    for (ClassQueue other : inOrder) {
      if (!other.trafficClass().outranks(queue.trafficClass())) {
        held += other.inFlight();
      }
    }
    return held < Math.max(1, Math.floor(queue.policy().slotShare() * limit));
  }

  /**
   * Returns true if the queue capacity of the class or of a class above it is used up, each counted
   * together with the classes below it.
   */
  boolean isFull(TrafficClass trafficClass) {
    int waiting = 0;
    int capacity = 0;
    for (int i = CLASSES.length - 1; i >= 0; i--) {
      waiting += begun.get(CLASSES[i]).waiting() + fresh.get(CLASSES[i]).waiting();
      capacity += fresh.get(CLASSES[i]).policy().queueLimit();
      if (!trafficClass.outranks(CLASSES[i]) && waiting >= capacity) {
        return true;
      }
    }
    return false;
  }

  /**
   * Evicts and returns a waiting request of lower priority than the new one, or null. Calls of
   * admitted chains are evicted only if no new request is.
   */
  GateEntry evictFor(GateRequest request, long newestFirstAfterNanos, long nowNanos) {
    GateEntry evicted = evictOf(request, false, newestFirstAfterNanos, nowNanos);
    return evicted == null ? evictOf(request, true, newestFirstAfterNanos, nowNanos) : evicted;
  }

  private GateEntry evictOf(
      GateRequest request, boolean begunWork, long newestFirstAfterNanos, long nowNanos) {
    ClassQueue own = of(request);
    for (int i = inOrder.size() - 1; i >= inOrder.indexOf(own); i--) {
      ClassQueue queue = inOrder.get(i);
      if (queue.isBegun() == begunWork && queue.waiting() > 0) {
        boolean newestFirst = queue.isNewestFirst(newestFirstAfterNanos, nowNanos);
        boolean keepsOut = queue == own && !newestFirst && queue.isLongest(request);
        return keepsOut ? null : queue.pollLeastValuable(newestFirst);
      }
    }
    return null;
  }

  /**
   * Returns the time until the given number of requests of the queue, and all that wait in the
   * queues before it, have been served.
   */
  double waitNanos(ClassQueue queue, double requests, int limit) {
    double workNanos = requests * queue.meanServiceNanos();
    double ownNanos = workNanos;
    for (ClassQueue higher : inOrder) {
      if (higher == queue) {
        break;
      }
      workNanos += higher.waiting() * higher.meanServiceNanos();
    }
    double share = queue.policy().slotShare();
    double strictNanos = workNanos / Math.max(1, share * limit);
    return hasReserve(queue)
        ? Math.min(strictNanos, ownNanos / Math.max(1, BEGUN_FRACTION * limit))
        : strictNanos;
  }

  /** Returns the number of waiting requests in the queues before the given one. */
  int waitingBefore(ClassQueue queue) {
    int waiting = 0;
    for (ClassQueue higher : inOrder) {
      if (higher == queue) {
        break;
      }
      waiting += higher.waiting();
    }
    return waiting;
  }

  private static boolean hasReserve(ClassQueue queue) {
    return queue.isBegun() && queue.trafficClass() != TrafficClass.CRITICAL;
  }

  /**
   * Calls of an admitted chain may use all slots and wait as long as the most urgent requests, also
   * under a preset that refuses new requests of their class.
   */
  private static ClassPolicy begunPolicy(Preset preset, TrafficClass trafficClass) {
    return new ClassPolicy(
        1,
        preset.policyOf(trafficClass).queueLimit(),
        preset.policyOf(TrafficClass.CRITICAL).queueTimeoutMillis(),
        false);
  }
}
