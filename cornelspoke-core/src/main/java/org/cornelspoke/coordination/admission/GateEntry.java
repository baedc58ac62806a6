package org.cornelspoke.coordination.admission;

/** One request at a gate, waiting or admitted. */
final class GateEntry implements UpstreamGate.Ticket {

  enum State {
    WAITING,
    ADMITTED,
    ENDED
  }

  private final GateRequest request;
  private final UpstreamGate.Listener listener;
  private final long waitUntilNanos;
  private State state = State.WAITING;
  private long admittedNanos;
  private double chargedNanos;

  GateEntry(GateRequest request, UpstreamGate.Listener listener, long waitUntilNanos) {
    this.request = request;
    this.listener = listener;
    this.waitUntilNanos = waitUntilNanos;
  }

  GateRequest request() {
    return request;
  }

  UpstreamGate.Listener listener() {
    return listener;
  }

  long remainingNanos(long nowNanos) {
    return request.deadlineNanos() - nowNanos;
  }

  boolean waitHasEnded(long nowNanos) {
    return nowNanos - waitUntilNanos >= 0;
  }

  State state() {
    return state;
  }

  void admit(double expectedNanos, long nowNanos) {
    state = State.ADMITTED;
    admittedNanos = nowNanos;
    chargedNanos = expectedNanos;
  }

  void end() {
    state = State.ENDED;
  }

  long heldNanos(long nowNanos) {
    return nowNanos - admittedNanos;
  }

  /** Slot time that was charged to the account at admission. */
  double chargedNanos() {
    return chargedNanos;
  }
}
