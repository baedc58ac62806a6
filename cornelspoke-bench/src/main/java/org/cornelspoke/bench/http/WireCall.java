package org.cornelspoke.bench.http;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;

/** A request on its way, which can be cancelled. Belongs to the thread of its client. */
public final class WireCall {

  final SettablePromise<WireMessage> answer = new SettablePromise<>();
  private Runnable closeConnection = () -> {};
  private boolean cancelled;

  WireCall() {}

  /** Returns the answer; fails with a {@link WireException} if no whole answer arrives. */
  public Promise<WireMessage> answer() {
    return answer;
  }

  /** Closes the connection if the answer has not arrived, so that the server can stop work. */
  public void cancel() {
    if (!answer.isComplete()) {
      cancelled = true;
      closeConnection.run();
    }
  }

  boolean isCancelled() {
    return cancelled;
  }

  void onCancel(Runnable action) {
    closeConnection = action;
  }
}
