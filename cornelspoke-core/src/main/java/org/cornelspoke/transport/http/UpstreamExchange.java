package org.cornelspoke.transport.http;

import org.cornelspoke.protocol.call.CallResult;

/** One request that was given to an {@link UpstreamPool}. Belongs to the reactor thread. */
public final class UpstreamExchange {

  /** Receives the end of an exchange. */
  public interface Listener {

    /**
     * The exchange ended with a whole answer, a proof that nothing was written, or an unknown
     * outcome. Called exactly once unless the exchange is cancelled first.
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
   * Gives up the exchange and closes its connection, which tells the upstream to stop and keeps a
   * late answer away from other requests. The listener is not called.
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

  UpstreamRequest request() {
    return request;
  }

  boolean isEnded() {
    return ended;
  }

  void attach(UpstreamConnection used) {
    connection = used;
  }

  void end(CallResult result) {
    if (!ended) {
      ended = true;
      listener.onEnded(result);
    }
  }
}
