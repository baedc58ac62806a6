package org.cornelspoke.protocol.call;

import org.cornelspoke.coordination.admission.GateLoad;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.model.Verdict;

/** A message on a link between two traffic daemons. */
public sealed interface CallMessage {

  /** Returns the call that the message belongs to, or 0 for messages about the link. */
  default long correlationId() {
    return 0;
  }

  /** The first frame in each direction. */
  record Hello(String magic, int version, String peerId) implements CallMessage {

    /** Separates this protocol from the others that use the same framing. */
    public static final String MAGIC = "cornelspoke-call";

    /** Version of the messages in this package. */
    public static final int VERSION = 1;

    /** Returns the greeting of this version. */
    public static Hello of(String peerId) {
      return new Hello(MAGIC, VERSION, peerId);
    }
  }

  /**
   * Starts a call.
   *
   * @param bodyBytes length of the whole body
   * @param chunk the first part of the body; the whole body if it is as long as {@code bodyBytes}
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Call(long correlationId, CallHead head, int bodyBytes, byte[] chunk)
      implements CallMessage {}

  /** A further part of a request body. */
  @SuppressWarnings("ArrayRecordComponent")
  record CallChunk(long correlationId, byte[] chunk) implements CallMessage {}

  /** The request body is complete. Sent only after at least one {@link CallChunk}. */
  record CallEnd(long correlationId) implements CallMessage {}

  /**
   * Starts a whole answer of the upstream.
   *
   * @param bodyBytes length of the whole body
   * @param chunk the first part of the body; the whole body if it is as long as {@code bodyBytes}
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Reply(
      long correlationId,
      int status,
      Headers headers,
      int unusedAttempts,
      int callsBelow,
      GateLoad load,
      int bodyBytes,
      byte[] chunk)
      implements CallMessage {}

  /** A further part of a response body. */
  @SuppressWarnings("ArrayRecordComponent")
  record ReplyChunk(long correlationId, byte[] chunk) implements CallMessage {}

  /** The response body is complete. Sent only after at least one {@link ReplyChunk}. */
  record ReplyEnd(long correlationId) implements CallMessage {}

  /**
   * Ends a call without an answer of the upstream.
   *
   * @param verdict {@code NOT_RUN} or {@code MAY_HAVE_RUN}
   */
  record Refusal(
      long correlationId,
      RefusalReason reason,
      Verdict verdict,
      long retryAfterMillis,
      int unusedAttempts,
      int callsBelow,
      GateLoad load)
      implements CallMessage {}

  /** Nobody waits for the answer any more. */
  record Cancel(long correlationId) implements CallMessage {}

  /** Asks for a {@link Pong}. */
  record Ping(long number) implements CallMessage {}

  /** Answers a {@link Ping}. */
  record Pong(long number) implements CallMessage {}

  /** The sender takes no new calls on this link and finishes those it has. */
  record GoAway() implements CallMessage {}
}
