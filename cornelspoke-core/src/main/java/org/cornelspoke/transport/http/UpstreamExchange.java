package org.cornelspoke.transport.http;

import org.cornelspoke.coordination.admission.UpstreamNotice;
import org.cornelspoke.protocol.call.CallResult;

/** One request sent through an {@link UpstreamPool}. Confined to the reactor thread. */
public final class UpstreamExchange {

  /** Receives the result of an exchange. */
  public interface Listener {

    /**
     * Called when the head of a response of the upstream process has arrived, before its body.
     *
     * @param notice what the process states about itself
     */
    default void onNotice(UpstreamNotice notice) {}

    /**
     * Called when the exchange ends with a complete response, a refusal that proves that the
     * request was not executed, or an unknown outcome. Called exactly once unless the exchange is
     * cancelled first.
     */
    void onEnded(CallResult result);
  }

  private final UpstreamRequest request;
  private final Listener listener;
  private UpstreamConnection connection;
  private boolean ended;

  UpstreamExchange(UpstreamRequest request, Listener listener) {
    this.request = request;
    this.listener = listener;
  }

  /**
   * Cancels the exchange and closes its connection, which tells the upstream to stop and ensures
   * that a late response cannot reach another request. The listener is not called.
   *
   * @return true if no byte of the request was written
   */
  public boolean cancel() {
    if (ended) {
      return false;
    }
    ended = true;
    if (connection == null) {
      return true;
    }
    boolean nothingWritten = connection.nothingWritten();
    connection.close();
    return nothingWritten;
  }

  /**
   * Returns the monotonic time at which the connection of the exchange was opened, or 0 before the
   * exchange has a connection.
   */
  public long connectedAtNanos() {
    return connection == null ? 0 : connection.connectedAtNanos();
  }

  UpstreamRequest request() {
    return request;
  }

  boolean isEnded() {
    return ended;
  }

  void attach(UpstreamConnection newConnection) {
    connection = newConnection;
  }

  void onNotice(UpstreamNotice notice) {
    if (!ended) {
      listener.onNotice(notice);
    }
  }

  void end(CallResult result) {
    if (!ended) {
      ended = true;
      listener.onEnded(result);
    }
  }
}
