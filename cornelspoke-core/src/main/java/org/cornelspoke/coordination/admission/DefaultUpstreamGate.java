package org.cornelspoke.coordination.admission;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.state.config.Preset;
import org.cornelspoke.util.Assert;

/**
 * Gate with class priority, fair queueing over accounts inside a class and an adaptive concurrency
 * limit.
 *
 * <p>A class is admitted only while it and the classes below it hold less than its slot share of
 * the limit, which reserves slots for the classes above. The queue of a class may use the queue
 * capacity of the classes below; when that is full, the waiting request with the lowest priority is
 * evicted in favour of one with a higher priority.
 *
 * <p>If the upstream states a rate limit, requests beyond it wait in the same queues. This keeps
 * the order of classes and accounts under a load that exceeds the rate but not the slots.
 *
 * <p>Not safe for use by several threads.
 */
public final class DefaultUpstreamGate implements UpstreamGate {

  private static final TrafficClass[] CLASSES = TrafficClass.values();
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final int PERCENT = 100;
  private static final long MIN_RETRY_AFTER_MILLIS = 50;
  private static final long MAX_RETRY_AFTER_MILLIS = 30_000;

  /**
   * Fraction of the mean service time that must remain until the deadline of a request. Service
   * times vary, so a request with slightly less than the mean is still likely to complete in time.
   */
  private static final double REQUIRED_SERVICE_FRACTION = 0.6;

  private final double interactiveFraction;
  private final ConcurrencyLimit limit;
  private final AdmissionRateLimit rateLimit = new AdmissionRateLimit();
  private final GateClosure closure = new GateClosure();
  private final Map<TrafficClass, ClassQueue> queues = new EnumMap<>(TrafficClass.class);
  private double meanServiceNanos;
  private long newestFirstAfterNanos;
  private int inFlight;

  /**
   * Creates a gate without requests.
   *
   * @param preset the initial preset
   * @param limit the concurrency limit, created with the announced slots
   */
  public DefaultUpstreamGate(Preset preset, ConcurrencyLimit limit) {
    this(preset, limit, 0);
  }

  /**
   * Creates a gate that reserves a fraction of the slots for interactive requests, so that higher
   * classes can't starve them.
   *
   * @param interactiveFraction fraction of the limit up to which waiting requests of the class
   *     {@link TrafficClass#INTERACTIVE} are served first; 0 for none
   */
  public DefaultUpstreamGate(Preset preset, ConcurrencyLimit limit, double interactiveFraction) {
    Assert.notNull(preset, "preset");
    Assert.isTrue(
        interactiveFraction >= 0 && interactiveFraction < 1, "interactiveFraction must be below 1");
    this.interactiveFraction = interactiveFraction;
    this.limit = Assert.notNull(limit, "limit");
    for (TrafficClass trafficClass : CLASSES) {
      queues.put(trafficClass, new ClassQueue(preset.policyOf(trafficClass)));
    }
    applyPreset(preset);
  }

  @Override
  public Ticket submit(GateRequest request, Listener listener, long nowNanos) {
    Assert.notNull(request, "request");
    Assert.notNull(listener, "listener");
    ClassQueue queue = queues.get(request.trafficClass());
    GateEntry entry =
        new GateEntry(
            request, listener, nowNanos + queue.policy().queueTimeoutMillis() * NANOS_PER_MILLI);
    if (closure.isClosed()) {
      closure.refuse(entry);
    } else if (queue.policy().refused()) {
      refuse(entry, RefusalReason.PRESET, MAX_RETRY_AFTER_MILLIS);
    } else if (entry.remainingNanos(nowNanos) <= 0) {
      refuse(entry, RefusalReason.DEADLINE, retryAfterMillis());
    } else if (hasFreeSlot(request.trafficClass())
        && queue.waiting() == 0
        && isNextAdmission(nowNanos)) {
      admitNew(queue, entry, nowNanos);
    } else {
      enqueue(queue, entry, nowNanos);
    }
    return entry;
  }

  @Override
  public void complete(Ticket ticket, Completion completion, long nowNanos) {
    GateEntry entry = (GateEntry) ticket;
    if (entry.state() != GateEntry.State.ADMITTED) {
      throw new IllegalStateException("ticket is not admitted: " + entry.state());
    }
    entry.end();
    // If requests wait for a slot, the limit counts as used up: their class may hold only a
    // fraction of it.
    boolean limitUsedUp = waiting() > 0 && !rateLimit.isActive();
    int usedSlots = limitUsedUp ? Math.max(inFlight, limit.limit()) : inFlight;
    long heldNanos = entry.heldNanos(nowNanos);
    limit.onCompleted(heldNanos, usedSlots, completion, nowNanos);
    if (completion == Completion.SUCCESS) {
      meanServiceNanos =
          meanServiceNanos == 0
              ? heldNanos
              : meanServiceNanos + ClassQueue.SERVICE_TIME_WEIGHT * (heldNanos - meanServiceNanos);
    }
    queues.get(entry.request().trafficClass()).onCompleted(entry, completion, nowNanos);
    inFlight--;
    dispatch(nowNanos);
  }

  @Override
  public boolean cancel(Ticket ticket, long nowNanos) {
    GateEntry entry = (GateEntry) ticket;
    if (entry.state() != GateEntry.State.WAITING) {
      return false;
    }
    entry.end();
    queues.get(entry.request().trafficClass()).onCancelled(entry);
    return true;
  }

  @Override
  public void onTick(long nowNanos) {
    if (closure.isClosed()) {
      closure.refuseWaiting(queues.values());
    }
    List<GateEntry> expired = new ArrayList<>();
    for (ClassQueue queue : queues.values()) {
      if (queue.waiting() > 0) {
        expired.addAll(queue.removeExpired(nowNanos, requiredServiceNanos(queue)));
      }
    }
    for (GateEntry entry : expired) {
      refuse(
          entry,
          entry.hasQueueTimedOut(nowNanos) ? RefusalReason.OVERLOAD : RefusalReason.DEADLINE,
          retryAfterMillis());
    }
    dispatch(nowNanos);
  }

  @Override
  public void applyPreset(Preset preset) {
    Assert.notNull(preset, "preset");
    newestFirstAfterNanos = preset.newestFirstAfterMillis() * NANOS_PER_MILLI;
    queues.forEach((trafficClass, queue) -> queue.setPolicy(preset.policyOf(trafficClass)));
  }

  @Override
  public void setAnnouncedSlots(int slots) {
    limit.setAnnouncedSlots(slots);
  }

  @Override
  public void setRateLimit(Optional<StatedRate> rate, long nowNanos) {
    rateLimit.set(rate, nowNanos);
    dispatch(nowNanos);
  }

  @Override
  public void setDraining(boolean draining) {
    closure.setDraining(draining);
  }

  @Override
  public void setEvacuated(boolean evacuated) {
    closure.setEvacuated(evacuated);
  }

  @Override
  public GateLoad load() {
    int criticalWaiting = queues.get(TrafficClass.CRITICAL).waiting();
    int slots = usableSlots();
    // While requests wait for a rate limit, the slots that it can fill count as in use, also in the
    // moments between two admissions.
    int usedSlots = rateLimit.isActive() && waiting() > 0 ? Math.max(inFlight, slots) : inFlight;
    return new GateLoad(
        usedSlots, waiting(), slots, PERCENT * criticalWaiting / Math.max(1, slots));
  }

  /** Returns true if a rate limit lets the next request in and no waiting one comes before it. */
  private boolean isNextAdmission(long nowNanos) {
    return !rateLimit.isActive() || (waiting() == 0 && rateLimit.hasPermit(nowNanos));
  }

  /** Returns the slots that can be in use at the same time under both limits. */
  private int usableSlots() {
    return rateLimit.concurrency(meanServiceNanos, limit.limit());
  }

  private void admitNew(ClassQueue queue, GateEntry entry, long nowNanos) {
    // An idle gate admits any request, so that an outdated service time is measured again.
    if (inFlight > 0 && entry.remainingNanos(nowNanos) < requiredServiceNanos(queue)) {
      queue.onDeadlineRefusal();
      refuse(entry, RefusalReason.DEADLINE, retryAfterMillis());
      return;
    }
    admit(queue, entry, nowNanos);
  }

  private void enqueue(ClassQueue queue, GateEntry entry, long nowNanos) {
    double waitNanos = expectedWaitNanos(queue, entry.request(), nowNanos);
    if (entry.remainingNanos(nowNanos) < waitNanos + requiredServiceNanos(queue)) {
      queue.onDeadlineRefusal();
      refuse(entry, RefusalReason.DEADLINE, retryAfterMillis());
      return;
    }
    if (waitNanos > (double) queue.policy().queueTimeoutMillis() * NANOS_PER_MILLI) {
      refuse(entry, RefusalReason.OVERLOAD, retryAfterMillis());
      return;
    }
    if (queueIsFull(entry.request().trafficClass())) {
      GateEntry evicted = evictFor(entry.request(), nowNanos);
      if (evicted == null) {
        refuse(entry, RefusalReason.OVERLOAD, retryAfterMillis());
        return;
      }
      queue.add(entry, nowNanos);
      refuse(evicted, RefusalReason.OVERLOAD, retryAfterMillis());
    } else {
      queue.add(entry, nowNanos);
    }
    dispatch(nowNanos);
  }

  /**
   * Returns true if the queue capacity of the class or of a class above it is used up, each counted
   * together with the classes below it.
   */
  private boolean queueIsFull(TrafficClass trafficClass) {
    int waiting = 0;
    int capacity = 0;
    for (int i = CLASSES.length - 1; i >= 0; i--) {
      ClassQueue queue = queues.get(CLASSES[i]);
      waiting += queue.waiting();
      capacity += queue.policy().queueLimit();
      if (!trafficClass.outranks(CLASSES[i]) && waiting >= capacity) {
        return true;
      }
    }
    return false;
  }

  /** Evicts and returns a waiting request of lower priority than the new one, or null. */
  private GateEntry evictFor(GateRequest request, long nowNanos) {
    for (int i = CLASSES.length - 1; i >= 0; i--) {
      if (CLASSES[i].outranks(request.trafficClass())) {
        break;
      }
      ClassQueue queue = queues.get(CLASSES[i]);
      if (queue.waiting() == 0) {
        continue;
      }
      boolean newestFirst = queue.isNewestFirst(newestFirstAfterNanos, nowNanos);
      boolean sameClass = CLASSES[i] == request.trafficClass();
      if (sameClass && !newestFirst && queue.isLongest(request)) {
        return null;
      }
      return queue.pollLeastValuable(newestFirst);
    }
    return null;
  }

  private void dispatch(long nowNanos) {
    ClassQueue interactive = queues.get(TrafficClass.INTERACTIVE);
    while (interactive.waiting() > 0
        && inFlight < limit.limit()
        && rateLimit.hasPermit(nowNanos)
        && interactive.inFlight() < interactiveFraction * usableSlots()) {
      admitNext(interactive, nowNanos);
    }
    for (TrafficClass trafficClass : CLASSES) {
      ClassQueue queue = queues.get(trafficClass);
      while (queue.waiting() > 0 && hasFreeSlot(trafficClass) && rateLimit.hasPermit(nowNanos)) {
        admitNext(queue, nowNanos);
      }
    }
  }

  private void admitNext(ClassQueue queue, long nowNanos) {
    GateEntry entry = queue.pollNext(queue.isNewestFirst(newestFirstAfterNanos, nowNanos));
    boolean missesDeadline =
        entry.remainingNanos(nowNanos) <= 0
            || (inFlight > 0 && entry.remainingNanos(nowNanos) < requiredServiceNanos(queue));
    if (missesDeadline) {
      queue.onDeadlineRefusal();
      refuse(entry, RefusalReason.DEADLINE, retryAfterMillis());
    } else {
      admit(queue, entry, nowNanos);
    }
  }

  private void admit(ClassQueue queue, GateEntry entry, long nowNanos) {
    double expectedNanos = queue.meanServiceNanos();
    entry.admit(expectedNanos, nowNanos);
    queue.onAdmitted(entry.request(), expectedNanos);
    inFlight++;
    rateLimit.usePermit(nowNanos);
    entry.listener().onAdmitted();
  }

  private static void refuse(GateEntry entry, RefusalReason reason, long retryAfterMillis) {
    entry.end();
    entry.listener().onRefused(reason, retryAfterMillis);
  }

  private boolean hasFreeSlot(TrafficClass trafficClass) {
    int total = limit.limit();
    if (inFlight >= total) {
      return false;
    }
    int held = 0;
    for (TrafficClass otherClass : CLASSES) {
      if (!otherClass.outranks(trafficClass)) {
        held += queues.get(otherClass).inFlight();
      }
    }
    double share = queues.get(trafficClass).policy().slotShare();
    return held < Math.max(1, Math.floor(share * total));
  }

  private double requiredServiceNanos(ClassQueue queue) {
    return queue.meanServiceNanos() * REQUIRED_SERVICE_FRACTION;
  }

  private double expectedWaitNanos(ClassQueue queue, GateRequest request, long nowNanos) {
    double higherWorkNanos = 0;
    int higherRequests = 0;
    for (TrafficClass otherClass : CLASSES) {
      if (!otherClass.outranks(request.trafficClass())) {
        continue;
      }
      ClassQueue higher = queues.get(otherClass);
      higherWorkNanos += higher.waiting() * higher.meanServiceNanos();
      higherRequests += higher.waiting();
    }
    boolean newestFirst = queue.isNewestFirst(newestFirstAfterNanos, nowNanos);
    double requestsAhead = newestFirst ? 0 : queue.expectedRequestsAhead(request);
    double slots = Math.max(1, queue.policy().slotShare() * limit.limit());
    return Math.max(
        (higherWorkNanos + (requestsAhead + 1) * queue.meanServiceNanos()) / slots,
        rateLimit.admissionNanos(higherRequests + requestsAhead + 1));
  }

  private long retryAfterMillis() {
    double workNanos = 0;
    double serviceNanos = 0;
    for (ClassQueue queue : queues.values()) {
      workNanos += queue.waiting() * queue.meanServiceNanos();
      serviceNanos = Math.max(serviceNanos, queue.meanServiceNanos());
    }
    double queueNanos =
        Math.max(workNanos / limit.limit(), rateLimit.admissionNanos(waiting() + 1.0));
    double millis = (queueNanos + serviceNanos) / NANOS_PER_MILLI;
    return (long) Math.min(MAX_RETRY_AFTER_MILLIS, Math.max(MIN_RETRY_AFTER_MILLIS, millis));
  }

  private int waiting() {
    int waiting = 0;
    for (ClassQueue queue : queues.values()) {
      waiting += queue.waiting();
    }
    return waiting;
  }
}
