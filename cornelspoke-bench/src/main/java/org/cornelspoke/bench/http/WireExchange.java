package org.cornelspoke.bench.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/** One request on a server connection, with the ways to answer it. */
public final class WireExchange {

  private final WireServerConnection connection;
  private final WireMessage request;
  private Runnable cancelListener = () -> {};
  private boolean answered;

  WireExchange(WireServerConnection connection, WireMessage request) {
    this.connection = connection;
    this.request = request;
  }

  /** Returns the request. */
  public WireMessage request() {
    return request;
  }

  /** Sets what to do when the connection closes before the answer is sent. */
  public void onCancel(Runnable listener) {
    cancelListener = listener;
  }

  /** Returns true if an answer can still be sent. */
  public boolean isOpen() {
    return !answered && !connection.isClosed();
  }

  /** Sends an answer. Does nothing if the connection is closed or an answer was sent. */
  public void respond(int status, Map<String, String> headers, byte[] body) {
    sendRaw(WireFormat.response(status, headers, body));
  }

  /** Sends a short text as the answer. */
  public void respond(int status, String text) {
    respond(status, Map.of(), text.getBytes(StandardCharsets.UTF_8));
  }

  /** Sends bytes as they are in place of an answer. */
  public void sendRaw(byte[] bytes) {
    if (!isOpen()) {
      return;
    }
    answered = true;
    connection.write(bytes);
    if (request.header("Connection").orElse("").equalsIgnoreCase("close")) {
      connection.close();
    } else {
      connection.finished();
    }
  }

  /** Sends bytes and closes the connection after them. */
  public void sendRawAndClose(byte[] bytes) {
    if (isOpen()) {
      answered = true;
      connection.write(bytes);
      connection.close();
    }
  }

  /** Closes the connection without an answer. */
  public void drop() {
    answered = true;
    connection.close();
  }

  void connectionClosed() {
    if (!answered) {
      answered = true;
      cancelListener.run();
    }
  }
}
