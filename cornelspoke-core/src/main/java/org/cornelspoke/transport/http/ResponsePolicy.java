package org.cornelspoke.transport.http;

import java.util.Optional;
import org.cornelspoke.coordination.admission.UpstreamNotice;
import org.cornelspoke.protocol.call.Headers;

/** Classifies an upstream's response to a request by its status and headers. */
public interface ResponsePolicy {

  /** The meaning of a response for the request. */
  enum Kind {
    /** The response to the request. */
    RESPONSE,
    /** The upstream states that it has not executed the request and will not execute it. */
    NOT_EXECUTED,
    /** A late response to an earlier request; the response to this request may follow. */
    OTHER_REQUEST,
    /** Not sent by the upstream's application, so the outcome of the request is unknown. */
    UNUSABLE
  }

  /**
   * Classifies a response.
   *
   * @param request the forwarded headers of the request
   */
  Kind classify(Headers request, int status, Headers response);

  /**
   * Returns what the upstream process states about itself, or empty if the response was not sent by
   * the intended process or its statement is malformed.
   *
   * @param request the forwarded headers of the request
   */
  Optional<UpstreamNotice> notice(Headers request, int status, Headers response);

  /**
   * Returns the id by which responses name their request, or empty if they name none. A refusal
   * that names its request is not taken for another request's if the upstream repeats it.
   *
   * @param message headers of a request or of a response
   */
  Optional<String> requestId(Headers message);

  /** Returns true if a response without length information may end with its connection. */
  boolean allowsCloseDelimitedBody();
}
