package org.cornelspoke.coordination.admission;

/** State of one request at a gate. */
final class GateEntry implements UpstreamGate.Ticket {

  enum State {
    WAITING,
    ADMITTED,
    ENDED
  }

  private final GateRequest request;
  private final UpstreamGate.Listener listener;
  private final long queueTimeoutAtNanos;
  private State state = State.WAITING;
  private long admittedAtNanos;
  private double chargedNanos;

  GateEntry(GateRequest request, UpstreamGate.Listener listener, long queueTimeoutAtNanos) {
    this.request = request;
    this.listener = listener;
    this.queueTimeoutAtNanos = queueTimeoutAtNanos;
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

  boolean hasQueueTimedOut(long nowNanos) {
    return nowNanos - queueTimeoutAtNanos >= 0;
  }

  State state() {
    return state;
  }

  void admit(double expectedNanos, long nowNanos) {
    state = State.ADMITTED;
    admittedAtNanos = nowNanos;
    chargedNanos = expectedNanos;
  }

  void end() {
    state = State.ENDED;
  }

  long heldNanos(long nowNanos) {
    return nowNanos - admittedAtNanos;
  }

  /** Returns the slot time that was charged to the account at admission. */
  double chargedNanos() {
    return chargedNanos;
  }
}
