package org.cornelspoke.daemon.traffic;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cornelspoke.coordination.admission.CallRooms;
import org.cornelspoke.coordination.admission.LearnedCapacity;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.protocol.call.RootOrigin;

/**
 * Tracks the running requests of an upstream: on behalf of which root they run, and which classes
 * of root requests make nested calls, so that overload downstream throttles only those classes. If
 * request ids do not identify the request that makes a call, every class is assumed to make calls.
 *
 * <p>Not thread-safe.
 */
final class NestedCallStatistics {

  /**
   * Weight of one completed request in the moving average; after a restart about 12 requests are
   * enough to classify a class.
   */
  private static final double SAMPLE_WEIGHT = 0.2;

  /** A class counts as making calls if at least this fraction of its requests makes any. */
  private static final double MIN_CALLING_FRACTION = 0.1;

  /** Bounds the memory; calls of requests beyond it count as calls with an unknown root. */
  private static final int MAX_RUNNING = 10_000;

  private static final class RunningRequest {
    private final TrafficClass rootClass;
    private final Optional<RootOrigin> origin;
    private final Optional<CallRooms> callRooms;
    private boolean madeCalls;
    private int callsInFlight;
    private long callsSinceNanos;
    private long nestedNanos;

    RunningRequest(
        TrafficClass rootClass, Optional<RootOrigin> origin, Optional<CallRooms> callRooms) {
      this.rootClass = rootClass;
      this.origin = origin;
      this.callRooms = callRooms;
    }
  }

  private final Map<String, RunningRequest> running = new HashMap<>();
  private final Map<TrafficClass, Double> callingFractions = new EnumMap<>(TrafficClass.class);
  private boolean parentsKnown;

  /**
   * Records that a request has been sent to the upstream.
   *
   * @param rootClass class of a root request, or null for a nested call made by another upstream
   * @param origin origin that the request's calls inherit, or empty if unknown
   * @param callRooms collector of what the request's calls report, or empty if it isn't needed
   */
  void onStarted(
      String requestId,
      TrafficClass rootClass,
      Optional<RootOrigin> origin,
      Optional<CallRooms> callRooms) {
    RunningRequest previous = running.get(requestId);
    if (previous == null && running.size() >= MAX_RUNNING) {
      return;
    }
    // Request ids come from callers. If two requests share one, the maker of a call is unknown.
    boolean ambiguous = previous != null && !isSameRoot(previous.origin, origin);
    running.put(
        requestId, new RunningRequest(rootClass, ambiguous ? Optional.empty() : origin, callRooms));
  }

  /** Returns true if the request has started and has not ended. */
  boolean isRunning(String requestId) {
    return running.containsKey(requestId);
  }

  /** Returns the origin of a running request, or empty if it is unknown. */
  Optional<RootOrigin> rootOf(String requestId) {
    RunningRequest request = running.get(requestId);
    return request == null ? Optional.empty() : request.origin;
  }

  /** Records a nested call made on behalf of the given request. */
  void onCall(String parentRequestId) {
    RunningRequest parent = running.get(parentRequestId);
    if (parent != null) {
      parent.madeCalls = true;
      parentsKnown = true;
    }
  }

  /** Records the start of a nested call made on behalf of the given request. */
  void onCallStarted(String parentRequestId, long nowNanos) {
    onCall(parentRequestId);
    RunningRequest parent = running.get(parentRequestId);
    if (parent != null) {
      if (parent.callsInFlight == 0) {
        parent.callsSinceNanos = nowNanos;
      }
      parent.callsInFlight++;
    }
  }

  /** Records the end of a nested call made on behalf of the given request. */
  void onCallEnded(String parentRequestId, long nowNanos) {
    RunningRequest parent = running.get(parentRequestId);
    if (parent != null && parent.callsInFlight > 0) {
      parent.callsInFlight--;
      if (parent.callsInFlight == 0) {
        parent.nestedNanos += nowNanos - parent.callsSinceNanos;
      }
    }
  }

  /**
   * Returns the time for which at least one nested call of a running request was in flight, or a
   * negative value if the request made calls that could not be assigned to it.
   *
   * @param madeCalls true if it is known by other means that the request made calls
   */
  long nestedNanos(String requestId, boolean madeCalls, long nowNanos) {
    RunningRequest request = requestId == null ? null : running.get(requestId);
    if (request == null || !request.madeCalls) {
      return madeCalls ? LearnedCapacity.UNKNOWN_NESTED_NANOS : 0;
    }
    return request.callsInFlight == 0
        ? request.nestedNanos
        : request.nestedNanos + nowNanos - request.callsSinceNanos;
  }

  /** Records that a request has ended; unknown requests are ignored. */
  void onEnded(String requestId) {
    RunningRequest ended = running.remove(requestId);
    if (ended != null && ended.rootClass != null) {
      double fraction = callingFractions.getOrDefault(ended.rootClass, 1.0);
      callingFractions.put(
          ended.rootClass, fraction + SAMPLE_WEIGHT * ((ended.madeCalls ? 1 : 0) - fraction));
    }
  }

  /** Returns the collector of what the calls of a running request report, or empty if unknown. */
  Optional<CallRooms> callRoomsOf(String requestId) {
    RunningRequest request = running.get(requestId);
    return request == null ? Optional.empty() : request.callRooms;
  }

  private static boolean isSameRoot(Optional<RootOrigin> first, Optional<RootOrigin> second) {
    return first.isPresent()
        && second.isPresent()
        && first.get().account().equals(second.get().account())
        && first.get().trafficClass() == second.get().trafficClass();
  }

  /** Returns false if it is known that requests of the class make no calls. */
  boolean makesCalls(TrafficClass trafficClass) {
    return !parentsKnown
        || callingFractions.getOrDefault(trafficClass, 1.0) >= MIN_CALLING_FRACTION;
  }
}
