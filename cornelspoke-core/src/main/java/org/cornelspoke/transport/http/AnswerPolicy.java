package org.cornelspoke.transport.http;

import org.cornelspoke.protocol.call.Headers;

/** Reads from status and headers of an upstream's answer what it says about the request. */
public interface AnswerPolicy {

  /** What an answer is. */
  enum Kind {
    /** The answer to the request. */
    ANSWER,
    /** The upstream states that it has not run the request and won't. */
    NOT_EXECUTED,
    /** The late answer to an earlier request; the answer to this one may follow. */
    OTHER_REQUEST,
    /** Not what the upstream's application sent, so the outcome is unknown. */
    UNUSABLE
  }

  /**
   * Judges an answer.
   *
   * @param request the forwarded headers of the request
   */
  Kind judge(Headers request, int status, Headers answer);

  /** Returns true if an answer without any length ends with its connection. */
  boolean endsWithConnection();
}
