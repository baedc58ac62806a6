package org.cornelspoke.daemon.traffic;

import java.util.Optional;
import org.cornelspoke.coordination.admission.GateLoad;
import org.cornelspoke.model.CallId;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.protocol.call.CallHead;
import org.cornelspoke.protocol.call.CallOutcome;
import org.cornelspoke.protocol.call.CallResult;
import org.cornelspoke.protocol.call.Headers;
import org.cornelspoke.protocol.call.MessageBody;
import org.cornelspoke.protocol.context.CallContext;
import org.cornelspoke.protocol.context.ContextSigner;
import org.cornelspoke.state.config.ContextSecret;
import org.cornelspoke.transport.link.IncomingCall;
import org.cornelspoke.transport.link.LinkCall;

/** Starts calls to the local upstreams, received over links or from this daemon's edge. */
final class LocalCalls {

  private final Collaborators collaborators;
  private final LocalUpstreams upstreams;
  private final ParentCalls parents;
  private final ContextSigner signer;
  private final CurrentView view;

  LocalCalls(
      Collaborators collaborators,
      LocalUpstreams upstreams,
      ParentCalls parents,
      ContextSigner signer,
      CurrentView view) {
    this.collaborators = collaborators;
    this.upstreams = upstreams;
    this.parents = parents;
    this.signer = signer;
    this.view = view;
  }

  /** Handles a call received over a link. */
  void onIncoming(IncomingCall call) {
    view.get();
    LocalCall localCall = start(call.head(), call.body(), call.arrivalNanos(), call::respond);
    if (localCall != null) {
      call.onCancelled(localCall::cancel);
    }
  }

  /**
   * Starts a call.
   *
   * @param arrivalNanos time from which on the remaining time of the call counts
   * @return the started call, or null if it was refused immediately because there is no upstream,
   *     no time remaining, or no configuration yet: a daemon that has just started doesn't know
   *     whether its data centre is evacuated.
   */
  LocalCall start(CallHead head, MessageBody body, long arrivalNanos, LinkCall.Listener listener) {
    long deadlineNanos = LocalCall.deadlineNanos(head, arrivalNanos);
    LocalUpstream upstream = upstreams.find(head.service());
    CallResult refusal = null;
    if (upstream == null || !view.isKnown()) {
      refusal = new CallResult.Refused(RefusalReason.NO_TARGET, 0);
    } else if (System.nanoTime() - deadlineNanos >= 0) {
      refusal = new CallResult.Refused(RefusalReason.DEADLINE, 0);
    }
    if (refusal != null) {
      GateLoad load = upstream == null ? GateLoad.IDLE : upstream.load(System.nanoTime());
      listener.onEnded(new CallOutcome(refusal, head.extraAttempts(), 0, load));
      return null;
    }
    head.metadata().targetNotice().ifPresent(notice -> upstreams.onEarlierNotice(upstream, notice));
    head.metadata()
        .targetEstimate()
        .ifPresent(
            estimate -> upstream.capacity.onEarlierEstimate(LocalCall.workKind(head), estimate));
    LocalCall call = new LocalCall(this, upstream, head, body, deadlineNanos, listener);
    call.start();
    return call;
  }

  Collaborators collaborators() {
    return collaborators;
  }

  LocalUpstreams upstreams() {
    return upstreams;
  }

  ParentCalls parents() {
    return parents;
  }

  Headers upstreamHeaders(CallHead head, CallId callId, long remainingMillis, String instance) {
    Headers.Builder addedHeaders = new Headers.Builder();
    collaborators.dialect().addAttemptHeaders(addedHeaders, remainingMillis, instance);
    Optional<ContextSecret> secret = view.signingSecret();
    if (secret.isPresent()) {
      CallContext context =
          new CallContext(
              callId,
              head.account(),
              head.weight(),
              head.trafficClass(),
              head.revision(),
              System.currentTimeMillis() + remainingMillis);
      addedHeaders.add("Cornelspoke-Context", signer.sign(context, secret.get()));
    }
    return addedHeaders.build();
  }
}
