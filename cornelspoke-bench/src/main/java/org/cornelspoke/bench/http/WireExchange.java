package org.cornelspoke.bench.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/** One request on a server connection, to which a single response can be sent. */
public final class WireExchange {

  private final WireServerConnection connection;
  private final WireMessage request;
  private Runnable cancelListener = () -> {};
  private boolean responseSent;

  WireExchange(WireServerConnection connection, WireMessage request) {
    this.connection = connection;
    this.request = request;
  }

  /** Returns the request. */
  public WireMessage request() {
    return request;
  }

  /** Sets the action to run when the connection closes before the response is sent. */
  public void onCancel(Runnable listener) {
    cancelListener = listener;
  }

  /** Returns true if a response can still be sent. */
  public boolean isOpen() {
    return !responseSent && !connection.isClosed();
  }

  /** Sends a response; does nothing if the connection is closed or a response was sent. */
  public void respond(int status, Map<String, String> headers, byte[] body) {
    sendRaw(WireFormat.response(status, headers, body));
  }

  /** Sends a response with a text body. */
  public void respond(int status, String text) {
    respond(status, Map.of(), text.getBytes(StandardCharsets.UTF_8));
  }

  /** Sends the bytes unchanged in place of a response. */
  public void sendRaw(byte[] bytes) {
    if (!isOpen()) {
      return;
    }
    responseSent = true;
    connection.write(bytes);
    if (request.header("Connection").orElse("").equalsIgnoreCase("close")) {
      connection.close();
    } else {
      connection.onResponseSent();
    }
  }

  /** Sends the bytes unchanged and then closes the connection. */
  public void sendRawAndClose(byte[] bytes) {
    if (isOpen()) {
      responseSent = true;
      connection.write(bytes);
      connection.close();
    }
  }

  /** Closes the connection without a response. */
  public void closeWithoutResponse() {
    responseSent = true;
    connection.close();
  }

  void onConnectionClosed() {
    if (!responseSent) {
      responseSent = true;
      cancelListener.run();
    }
  }
}
