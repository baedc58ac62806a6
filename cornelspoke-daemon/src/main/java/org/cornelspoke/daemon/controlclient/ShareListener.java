package org.cornelspoke.daemon.controlclient;

/** Receives messages about rate shares. All methods run on the control thread. */
public interface ShareListener {

  /** The daemon has attached itself to a relay. */
  void onAttached();

  /** The daemon is no longer attached; messages on their way may be lost. */
  void onDetached();

  /** A message of the current relay has arrived. */
  void onMessage(byte[] message);
}
