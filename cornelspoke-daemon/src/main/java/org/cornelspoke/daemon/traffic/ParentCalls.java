package org.cornelspoke.daemon.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.cornelspoke.coordination.admission.CallRooms;
import org.cornelspoke.model.CallId;
import org.cornelspoke.protocol.call.RootOrigin;

/** Calls that this daemon has sent to a local upstream and that may make nested calls. */
final class ParentCalls {

  /** The deadline that nested calls inherit, and the number of downstream calls made so far. */
  static final class Parent {

    private final long deadlineNanos;
    private final Optional<RootOrigin> origin;
    private final Optional<CallRooms> callRooms;
    private int downstreamCalls;

    Parent(long deadlineNanos, Optional<RootOrigin> origin, Optional<CallRooms> callRooms) {
      this.deadlineNanos = deadlineNanos;
      this.origin = origin;
      this.callRooms = callRooms;
    }

    /** Returns the collector of what nested calls report, or empty if chain admission is off. */
    Optional<CallRooms> callRooms() {
      return callRooms;
    }

    /** Returns the origin that nested calls inherit, or empty if chain admission is off. */
    Optional<RootOrigin> origin() {
      return origin;
    }

    long deadlineNanos() {
      return deadlineNanos;
    }

    int downstreamCalls() {
      return downstreamCalls;
    }

    /** Adds the attempts of a completed nested call and their downstream calls. */
    void addDownstreamCalls(int calls) {
      downstreamCalls += calls;
    }
  }

  private static final char[] HEX = "0123456789abcdef".toCharArray();
  private static final int ID_LENGTH = 32;

  private final Map<CallId, Parent> parents = new HashMap<>();

  /** Ids must be unique but need not be secret, because contexts are signed. */
  private final SplittableRandom random =
      new SplittableRandom(new java.security.SecureRandom().nextLong());

  CallId newId() {
    char[] text = new char[ID_LENGTH];
    for (int half = 0; half < 2; half++) {
      long bits = random.nextLong();
      for (int i = 0; i < ID_LENGTH / 2; i++) {
        text[half * ID_LENGTH / 2 + i] = HEX[(int) (bits & 15)];
        bits >>>= 4;
      }
    }
    return new CallId(new String(text));
  }

  void put(CallId id, Parent parent) {
    parents.put(id, parent);
  }

  /** Returns the state of a running call, or null if the call is not running at this daemon. */
  Parent get(CallId id) {
    return parents.get(id);
  }

  /** Removes a call and returns the number of its downstream calls. */
  int remove(CallId id) {
    Parent parent = parents.remove(id);
    return parent == null ? 0 : parent.downstreamCalls();
  }
}
