package org.cornelspoke.daemon.controlclient;

/** Receives messages about rate shares. All methods are called on the control thread. */
public interface ShareListener {

  /** Called when the daemon attaches to a relay. */
  void onAttached();

  /** Called when the daemon is no longer attached; messages in transit may be lost. */
  void onDetached();

  /** Called for a message from the current relay. */
  void onMessage(byte[] message);
}
