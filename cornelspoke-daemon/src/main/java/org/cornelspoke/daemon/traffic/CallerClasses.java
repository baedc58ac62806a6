package org.cornelspoke.daemon.traffic;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import org.cornelspoke.model.TrafficClass;

/**
 * Learns which classes of root requests at an upstream make calls of their own, so that pressure
 * below holds back only those. Where request ids do not tell which request makes a call, every
 * class counts as making calls.
 *
 * <p>Not safe for use by several threads.
 */
final class CallerClasses {

  /** Weight of one ended request; a dozen tell a class apart after a restart. */
  private static final double WEIGHT = 0.2;

  /** Part of requests with calls from which a class counts as making calls. */
  private static final double LEAST_PART = 0.1;

  private static final class Running {
    private final TrafficClass rootClass;
    private boolean madeCalls;

    Running(TrafficClass rootClass) {
      this.rootClass = rootClass;
    }
  }

  private final Map<String, Running> running = new HashMap<>();
  private final Map<TrafficClass, Double> parts = new EnumMap<>(TrafficClass.class);
  private boolean linked;

  /**
   * Notes that a request runs at the upstream.
   *
   * @param rootClass class of a root request, or null for a call of another upstream
   */
  void onStarted(String requestId, TrafficClass rootClass) {
    running.put(requestId, new Running(rootClass));
  }

  /** Notes a call that names the request on whose behalf it is made. */
  void onCall(String parentRequestId) {
    Running parent = running.get(parentRequestId);
    if (parent != null) {
      parent.madeCalls = true;
      linked = true;
    }
  }

  /** Notes that a request has ended, whether or not it was started. */
  void onEnded(String requestId) {
    Running ended = running.remove(requestId);
    if (ended != null && ended.rootClass != null) {
      double part = parts.getOrDefault(ended.rootClass, 1.0);
      parts.put(ended.rootClass, part + WEIGHT * ((ended.madeCalls ? 1 : 0) - part));
    }
  }

  /** Returns false if it is known that requests of the class make no calls. */
  boolean makesCalls(TrafficClass trafficClass) {
    return !linked || parts.getOrDefault(trafficClass, 1.0) >= LEAST_PART;
  }
}
