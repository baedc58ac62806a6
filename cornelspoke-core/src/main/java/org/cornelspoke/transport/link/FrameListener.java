package org.cornelspoke.transport.link;

/** Receives the frames of one connection. All methods run on the reactor thread. */
public interface FrameListener {

  /**
   * A whole frame has arrived, without its length prefix. An exception closes the connection.
   *
   * @param frame the listener may keep the array
   */
  void onFrame(byte[] frame);

  /**
   * The connection is closed. Called exactly once.
   *
   * @param cause why the connection closed; an end of stream is reported as an exception too
   */
  void onClosed(Exception cause);
}
