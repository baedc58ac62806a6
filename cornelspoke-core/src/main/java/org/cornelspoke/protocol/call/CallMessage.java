package org.cornelspoke.protocol.call;

import org.cornelspoke.coordination.admission.GateLoad;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.model.Verdict;

/** A message on a link between two traffic daemons. */
public sealed interface CallMessage {

  /** Returns the id of the call that the message belongs to, or 0 for messages about the link. */
  default long correlationId() {
    return 0;
  }

  /** First message in each direction of a link. */
  record Hello(String magic, int version, String peerId) implements CallMessage {

    /** Identifies this protocol among those that use the same framing. */
    public static final String MAGIC = "cornelspoke-call";

    /** Version of this protocol. */
    public static final int VERSION = 1;

    /** Returns a hello message of this version. */
    public static Hello of(String peerId) {
      return new Hello(MAGIC, VERSION, peerId);
    }
  }

  /**
   * Starts a call.
   *
   * @param bodyBytes length of the whole body
   * @param chunk first chunk of the body; the whole body if it is {@code bodyBytes} long
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Call(long correlationId, CallHead head, int bodyBytes, byte[] chunk)
      implements CallMessage {}

  /** A further chunk of a request body. */
  @SuppressWarnings("ArrayRecordComponent")
  record CallChunk(long correlationId, byte[] chunk) implements CallMessage {}

  /** The request body is complete. Sent only after at least one {@link CallChunk}. */
  record CallEnd(long correlationId) implements CallMessage {}

  /**
   * Starts the response of the upstream.
   *
   * @param metadata what the target's daemon tells beside the response
   * @param bodyBytes length of the whole body
   * @param chunk first chunk of the body; the whole body if it is {@code bodyBytes} long
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Reply(
      long correlationId,
      int status,
      Headers headers,
      int unusedAttempts,
      int downstreamCalls,
      GateLoad load,
      ReplyMetadata metadata,
      int bodyBytes,
      byte[] chunk)
      implements CallMessage {}

  /** A further chunk of a response body. */
  @SuppressWarnings("ArrayRecordComponent")
  record ReplyChunk(long correlationId, byte[] chunk) implements CallMessage {}

  /** The response body is complete. Sent only after at least one {@link ReplyChunk}. */
  record ReplyEnd(long correlationId) implements CallMessage {}

  /**
   * Ends a call without a response from the upstream.
   *
   * @param verdict {@code NOT_RUN} or {@code MAY_HAVE_RUN}
   */
  record Refusal(
      long correlationId,
      RefusalReason reason,
      Verdict verdict,
      long retryAfterMillis,
      int unusedAttempts,
      int downstreamCalls,
      GateLoad load)
      implements CallMessage {}

  /** Cancels a call whose response is no longer needed. */
  record Cancel(long correlationId) implements CallMessage {}

  /** Requests a {@link Pong} with the same number. */
  record Ping(long number) implements CallMessage {}

  /** Replies to a {@link Ping} with the same number. */
  record Pong(long number) implements CallMessage {}

  /** The sender accepts no new calls on this link and completes those in flight. */
  record GoAway() implements CallMessage {}
}
