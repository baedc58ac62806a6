package org.cornelspoke.transport.http;

/** Answers the requests of an {@link HttpServer}. Runs on the reactor thread. */
public interface HttpHandler {

  /** Takes a whole request. It must call {@link HttpExchange#respond} exactly once. */
  void onRequest(HttpExchange exchange);
}
