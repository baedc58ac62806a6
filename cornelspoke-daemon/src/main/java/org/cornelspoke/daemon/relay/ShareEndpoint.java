package org.cornelspoke.daemon.relay;

import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.VmId;

/** Receives messages about rate shares. All methods run on the control thread. */
public interface ShareEndpoint {

  /** A daemon has attached itself to this relay; a former attachment of it has ended. */
  void onAttached(DaemonId daemon);

  /** A daemon is no longer attached to this relay. */
  void onDetached(DaemonId daemon);

  /** A message of an attached daemon has arrived. */
  void onMessage(DaemonId daemon, byte[] message);

  /** A message of another relay has arrived. */
  default void onPeerMessage(VmId vm, byte[] message) {}
}
