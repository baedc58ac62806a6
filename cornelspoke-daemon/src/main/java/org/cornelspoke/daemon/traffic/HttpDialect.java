package org.cornelspoke.daemon.traffic;

import java.util.Optional;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.protocol.call.Headers;
import org.cornelspoke.transport.http.HttpResponse;
import org.cornelspoke.transport.http.ResponsePolicy;

/**
 * The header names and answer forms that callers and upstreams of a deployment use. An
 * implementation translates and decides nothing about a request.
 *
 * <p>Implementations are stateless.
 */
public interface HttpDialect {

  /**
   * Reads the headers of a request that the daemon itself needs.
   *
   * @throws IllegalArgumentException if one of them is malformed or ambiguous
   */
  CallerHeaders read(Headers headers);

  /** Returns true if a caller's header line is not forwarded, because the daemon sets it itself. */
  boolean isReserved(Headers headers, int line);

  /** Adds the headers that tell an upstream for whom and from where a request comes. */
  void addOrigin(Headers.Builder headers, Optional<AccountId> account);

  /**
   * Adds the headers of one attempt.
   *
   * @param leftMillis time left for the request
   * @param instance the upstream process that is meant, or null if it has told no name
   */
  void addAttempt(Headers.Builder headers, long leftMillis, String instance);

  /** Returns the id that a request bears, empty if it has none. */
  default Optional<String> requestId(Headers headers) {
    return Optional.empty();
  }

  /** Returns the id of the request that makes a call, empty if the call's id does not tell it. */
  default Optional<String> parentRequestId(String requestId) {
    return Optional.empty();
  }

  /** Returns the answer that the daemon itself gives. */
  HttpResponse ownAnswer(OwnAnswer answer);

  /** Returns how answers of upstreams are read. */
  ResponsePolicy answerPolicy();
}
