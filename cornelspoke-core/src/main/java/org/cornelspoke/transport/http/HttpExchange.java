package org.cornelspoke.transport.http;

import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.model.Verdict;
import org.cornelspoke.util.Assert;

/** One whole request and the way to answer it. Belongs to the reactor thread. */
public final class HttpExchange {

  private static final int INTERNAL_ERROR = 500;

  private final HttpServerConnection connection;
  private final RequestHead head;
  private final byte[] body;
  private Runnable abandonListener;
  private boolean ended;
  private boolean abandoned;

  HttpExchange(HttpServerConnection connection, RequestHead head, byte[] body) {
    this.connection = connection;
    this.head = head;
    this.body = body;
  }

  /** Returns the request head. */
  public RequestHead head() {
    return head;
  }

  /** Returns the whole request body. The array must not be changed. */
  public byte[] body() {
    return body;
  }

  /** Sets what to run if the caller leaves before the answer. */
  public void onAbandoned(Runnable listener) {
    this.abandonListener = Assert.notNull(listener, "listener");
  }

  /** Returns true if the caller has left before the answer. */
  public boolean isAbandoned() {
    return abandoned;
  }

  /**
   * Answers the request. Does nothing but end the exchange if the caller has left.
   *
   * @throws IllegalStateException if the request has an answer already
   */
  public void respond(HttpResponse response) {
    if (ended) {
      throw new IllegalStateException("the request has an answer already");
    }
    ended = true;
    connection.respond(this, response);
  }

  /** Answers after a fault of the handler, which may have started something. */
  void fail() {
    if (!ended) {
      respond(
          HttpResponse.refusal(
              INTERNAL_ERROR, RefusalReason.UPSTREAM_FAILED, Verdict.MAY_HAVE_RUN, -1));
    }
  }

  void abandon() {
    if (!ended && !abandoned) {
      abandoned = true;
      if (abandonListener != null) {
        abandonListener.run();
      }
    }
  }
}
