package org.cornelspoke.daemon.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.cornelspoke.model.CallId;

/** Calls that this daemon has handed to its upstream and that may have nested calls. */
final class ParentCalls {

  /** What nested calls inherit, and how many there were. */
  static final class Parent {

    private final long deadlineNanos;
    private int callsBelow;

    Parent(long deadlineNanos) {
      this.deadlineNanos = deadlineNanos;
    }

    long deadlineNanos() {
      return deadlineNanos;
    }

    int callsBelow() {
      return callsBelow;
    }

    /** Counts the attempts of a nested call that has ended, and the calls below them. */
    void addCalls(int calls) {
      callsBelow += calls;
    }
  }

  private static final char[] HEX = "0123456789abcdef".toCharArray();
  private static final int ID_LENGTH = 32;

  private final Map<CallId, Parent> parents = new HashMap<>();

  /** Ids need to be unique, not secret: contexts are signed. */
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

  /** Returns what nested calls of the call inherit, or null if the call is not running here. */
  Parent get(CallId id) {
    return parents.get(id);
  }

  /** Forgets a call and returns the number of calls below it. */
  int remove(CallId id) {
    Parent parent = parents.remove(id);
    return parent == null ? 0 : parent.callsBelow();
  }
}
