package org.cornelspoke.coordination.admission;

import java.util.ArrayList;
import java.util.List;
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

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final int PERCENT = 100;
  private static final long MIN_RETRY_AFTER_MILLIS = 50;
  private static final long MAX_RETRY_AFTER_MILLIS = 30_000;

  /**
   * Fraction of the mean service time that must remain until the deadline of a request. Service
   * times vary, so a request with slightly less than the mean is still likely to complete in time.
   */
  private static final double REQUIRED_SERVICE_FRACTION = 0.6;

  private final ConcurrencyLimit limit;
  private final AdmissionRateLimit rateLimit = new AdmissionRateLimit();
  private final GateClosure closure = new GateClosure();
  private final GateQueues queues;
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
    this.limit = Assert.notNull(limit, "limit");
    this.queues = new GateQueues(preset, interactiveFraction);
    applyPreset(preset);
  }

  @Override
  public Ticket submit(GateRequest request, Listener listener, long nowNanos) {
    Assert.notNull(request, "request");
    Assert.notNull(listener, "listener");
    ClassQueue queue = queues.of(request);
    GateEntry entry =
        new GateEntry(
            request, listener, nowNanos + queue.policy().queueTimeoutMillis() * NANOS_PER_MILLI);
    if (closure.isClosed()) {
      closure.refuse(entry);
    } else if (queue.policy().refused()) {
      refuse(entry, RefusalReason.PRESET, MAX_RETRY_AFTER_MILLIS);
    } else if (entry.remainingNanos(nowNanos) <= 0) {
      refuse(entry, RefusalReason.DEADLINE, retryAfterMillis());
    } else if (queues.hasFreeSlot(queue, inFlight, limit.limit())
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
    boolean limitUsedUp = queues.waiting() > 0 && !rateLimit.isActive();
    int usedSlots = limitUsedUp ? Math.max(inFlight, limit.limit()) : inFlight;
    long heldNanos = entry.heldNanos(nowNanos);
    limit.onCompleted(heldNanos, usedSlots, completion, nowNanos);
    if (completion == Completion.SUCCESS) {
      meanServiceNanos =
          meanServiceNanos == 0
              ? heldNanos
              : meanServiceNanos + ClassQueue.SERVICE_TIME_WEIGHT * (heldNanos - meanServiceNanos);
    }
    queues.of(entry.request()).onCompleted(entry, completion, nowNanos);
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
    queues.of(entry.request()).onCancelled(entry);
    return true;
  }

  @Override
  public void onTick(long nowNanos) {
    if (closure.isClosed()) {
      closure.refuseWaiting(queues.inOrder());
    }
    List<GateEntry> expired = new ArrayList<>();
    for (ClassQueue queue : queues.inOrder()) {
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
    queues.applyPreset(preset);
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
    int slots = usableSlots();
    // While requests wait for a rate limit, the slots that it can fill count as in use, also in the
    // moments between two admissions.
    int usedSlots =
        rateLimit.isActive() && queues.waiting() > 0 ? Math.max(inFlight, slots) : inFlight;
    return new GateLoad(
        usedSlots, queues.waiting(), slots, PERCENT * queues.urgentWaiting() / Math.max(1, slots));
  }

  /** Returns true if a rate limit lets the next request in and no waiting one comes before it. */
  private boolean isNextAdmission(long nowNanos) {
    return !rateLimit.isActive() || (queues.waiting() == 0 && rateLimit.hasPermit(nowNanos));
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
    if (queues.isFull(entry.request().trafficClass())) {
      GateEntry evicted = queues.evictFor(entry.request(), newestFirstAfterNanos, nowNanos);
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

  private void dispatch(long nowNanos) {
    ClassQueue queue = nextToServe();
    while (queue != null && rateLimit.hasPermit(nowNanos)) {
      admitNext(queue, nowNanos);
      queue = nextToServe();
    }
  }

  private ClassQueue nextToServe() {
    return queues.nextToServe(inFlight, limit.limit(), usableSlots());
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

  private double requiredServiceNanos(ClassQueue queue) {
    return queue.meanServiceNanos() * REQUIRED_SERVICE_FRACTION;
  }

  private double expectedWaitNanos(ClassQueue queue, GateRequest request, long nowNanos) {
    boolean newestFirst = queue.isNewestFirst(newestFirstAfterNanos, nowNanos);
    double requestsAhead = newestFirst ? 0 : queue.expectedRequestsAhead(request);
    return Math.max(
        queues.waitNanos(queue, requestsAhead + 1, limit.limit()),
        rateLimit.admissionNanos(queues.waitingBefore(queue) + requestsAhead + 1));
  }

  private long retryAfterMillis() {
    double workNanos = 0;
    double serviceNanos = 0;
    for (ClassQueue queue : queues.inOrder()) {
      workNanos += queue.waiting() * queue.meanServiceNanos();
      serviceNanos = Math.max(serviceNanos, queue.meanServiceNanos());
    }
    double queueNanos =
        Math.max(workNanos / limit.limit(), rateLimit.admissionNanos(queues.waiting() + 1.0));
    double millis = (queueNanos + serviceNanos) / NANOS_PER_MILLI;
    return (long) Math.min(MAX_RETRY_AFTER_MILLIS, Math.max(MIN_RETRY_AFTER_MILLIS, millis));
  }
}
