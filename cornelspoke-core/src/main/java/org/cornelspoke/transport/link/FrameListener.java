package org.cornelspoke.transport.link;

/** Receives the frames of one connection. All methods run on the reactor thread. */
public interface FrameListener {

  /**
   * Called with a complete frame, without its length prefix. An exception closes the connection.
   *
   * @param frame the content of the frame; the listener may retain the array
   */
  void onFrame(byte[] frame);

  /**
   * Called exactly once, when the connection is closed.
   *
   * @param cause why the connection was closed; an end of stream is also reported as an exception
   */
  void onClosed(Exception cause);
}
