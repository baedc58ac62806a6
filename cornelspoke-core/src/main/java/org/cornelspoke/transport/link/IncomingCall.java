package org.cornelspoke.transport.link;

import org.cornelspoke.protocol.call.CallHead;
import org.cornelspoke.protocol.call.CallOutcome;
import org.cornelspoke.util.Assert;

/** A whole call that a peer has sent. Belongs to the reactor thread. */
public final class IncomingCall {

  private final ServerLink link;
  private final long correlationId;
  private final CallHead head;
  private final byte[] body;
  private Runnable cancelListener;
  private boolean ended;

  IncomingCall(ServerLink link, long correlationId, CallHead head, byte[] body) {
    this.link = link;
    this.correlationId = correlationId;
    this.head = head;
    this.body = body;
  }

  /** Returns everything but the body. */
  public CallHead head() {
    return head;
  }

  /** Returns the whole body. The array must not be changed. */
  public byte[] body() {
    return body;
  }

  /** Sets what to run if the peer cancels the call or the link breaks. */
  public void onCancelled(Runnable listener) {
    this.cancelListener = Assert.notNull(listener, "listener");
  }

  /** Answers the call. Does nothing if the call was cancelled. The load must be present. */
  public void respond(CallOutcome ending) {
    if (!ended) {
      ended = true;
      link.respond(correlationId, ending);
    }
  }

  void cancel() {
    if (!ended) {
      ended = true;
      if (cancelListener != null) {
        cancelListener.run();
      }
    }
  }
}
