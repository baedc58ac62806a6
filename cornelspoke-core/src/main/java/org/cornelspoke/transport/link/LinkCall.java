package org.cornelspoke.transport.link;

import org.cornelspoke.protocol.call.CallMessage.Reply;
import org.cornelspoke.protocol.call.CallOutcome;

/** One call in flight on a {@link PeerLink}. Confined to the reactor thread. */
public final class LinkCall {

  /** Receives the result of a call. */
  public interface Listener {

    /** Called exactly once, unless the call is cancelled first. */
    void onEnded(CallOutcome ending);
  }

  private final PeerLink link;
  private final long correlationId;
  private final Listener listener;
  BodySender.OutgoingBody requestBody;
  Reply reply;
  BodyAssembler replyBody;

  LinkCall(PeerLink link, long correlationId, Listener listener) {
    this.link = link;
    this.correlationId = correlationId;
    this.listener = listener;
  }

  /** Cancels the call locally and at the peer. The listener is not called afterwards. */
  public void cancel() {
    link.cancel(this);
  }

  long correlationId() {
    return correlationId;
  }

  void end(CallOutcome ending) {
    listener.onEnded(ending);
  }
}
