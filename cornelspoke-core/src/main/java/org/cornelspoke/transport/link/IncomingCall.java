package org.cornelspoke.transport.link;

import org.cornelspoke.protocol.call.CallHead;
import org.cornelspoke.protocol.call.CallOutcome;
import org.cornelspoke.protocol.call.MessageBody;
import org.cornelspoke.util.Assert;

/** A complete call received from a peer. Confined to the reactor thread. */
public final class IncomingCall {

  private final ServerLink link;
  private final long correlationId;
  private final CallHead head;
  private final MessageBody body;
  private final long arrivalNanos;
  private Runnable cancelListener;
  private boolean ended;

  IncomingCall(
      ServerLink link, long correlationId, CallHead head, MessageBody body, long arrivalNanos) {
    this.link = link;
    this.correlationId = correlationId;
    this.head = head;
    this.body = body;
    this.arrivalNanos = arrivalNanos;
  }

  /** Returns the head of the call, which is everything except the body. */
  public CallHead head() {
    return head;
  }

  /** Returns the complete body. */
  public MessageBody body() {
    return body;
  }

  /**
   * Returns the earliest time at which the head of the call can have arrived, in the time of {@link
   * System#nanoTime}.
   */
  public long arrivalNanos() {
    return arrivalNanos;
  }

  /** Returns true if the call was answered or cancelled. */
  boolean isEnded() {
    return ended;
  }

  /** Sets a listener that runs if the peer cancels the call or the link is closed. */
  public void onCancelled(Runnable listener) {
    this.cancelListener = Assert.notNull(listener, "listener");
  }

  /** Replies to the call. Does nothing if it was cancelled. The ending must have a gate load. */
  public void respond(CallOutcome ending) {
    if (!ended) {
      ended = true;
      link.release(body.sizeBytes());
      link.respond(correlationId, ending);
    }
  }

  void cancel() {
    if (!ended) {
      ended = true;
      link.release(body.sizeBytes());
      if (cancelListener != null) {
        cancelListener.run();
      }
    }
  }
}
