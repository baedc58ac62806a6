package org.cornelspoke.transport.http;

/** Handles the requests of an {@link HttpServer}. Runs on the reactor thread. */
public interface HttpHandler {

  /** Handles a complete request. Must call {@link HttpExchange#respond} exactly once. */
  void onRequest(HttpExchange exchange);
}
