package org.cornelspoke.bench.http;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;

/** A request in flight, which can be cancelled. Must be used only on its client's thread. */
public final class WireCall {

  final SettablePromise<WireMessage> response = new SettablePromise<>();
  private Runnable cancelAction = () -> {};
  private boolean cancelled;

  WireCall() {}

  /** Returns the response; fails with a {@link WireException} if none is received completely. */
  public Promise<WireMessage> response() {
    return response;
  }

  /** Closes the connection if the call is not complete, so that the server can stop its work. */
  public void cancel() {
    if (!response.isComplete()) {
      cancelled = true;
      cancelAction.run();
    }
  }

  boolean isCancelled() {
    return cancelled;
  }

  void setCancelAction(Runnable action) {
    cancelAction = action;
  }
}
