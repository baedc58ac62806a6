package org.cornelspoke.transport.http;

import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.model.Verdict;
import org.cornelspoke.protocol.call.MessageBody;
import org.cornelspoke.util.Assert;

/** One complete request and its response. Confined to the reactor thread. */
public final class HttpExchange {

  private static final int INTERNAL_ERROR = 500;

  private final HttpServerConnection connection;
  private final RequestHead head;
  private final MessageBody body;
  private final long arrivalNanos;
  private Runnable abandonListener;
  private boolean responded;
  private boolean abandoned;

  HttpExchange(
      HttpServerConnection connection, RequestHead head, MessageBody body, long arrivalNanos) {
    this.connection = connection;
    this.head = head;
    this.body = body;
    this.arrivalNanos = arrivalNanos;
  }

  /** Returns the request head. */
  public RequestHead head() {
    return head;
  }

  /** Returns the complete request body. */
  public MessageBody body() {
    return body;
  }

  /**
   * Returns the earliest time at which the first byte of the request can have arrived, in the time
   * of {@link System#nanoTime}. A request that was sent behind another on its connection, or whose
   * bytes waited on the socket, has arrived earlier than it was read.
   */
  public long arrivalNanos() {
    return arrivalNanos;
  }

  /** Sets a listener that runs if the caller disconnects before the response is sent. */
  public void onAbandoned(Runnable listener) {
    this.abandonListener = Assert.notNull(listener, "listener");
  }

  /** Returns true if the caller disconnected before the response was sent. */
  public boolean isAbandoned() {
    return abandoned;
  }

  /**
   * Sends the response. Only ends the exchange if the caller has disconnected.
   *
   * @throws IllegalStateException if a response has already been sent
   */
  public void respond(HttpResponse response) {
    if (responded) {
      throw new IllegalStateException("a response has already been sent");
    }
    responded = true;
    connection.respond(this, response);
  }

  /**
   * Sends an error response after the handler threw an exception; the request may have had effects.
   */
  void fail() {
    if (!responded) {
      respond(
          HttpResponse.refusal(
              INTERNAL_ERROR, RefusalReason.UPSTREAM_FAILED, Verdict.MAY_HAVE_RUN, -1));
    }
  }

  void abandon() {
    if (!responded && !abandoned) {
      abandoned = true;
      if (abandonListener != null) {
        abandonListener.run();
      }
    }
  }
}
