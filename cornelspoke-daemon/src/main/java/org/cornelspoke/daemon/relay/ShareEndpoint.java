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
  void onDaemonMessage(DaemonId daemon, byte[] message);

  /** A relay that opened a connection to this VM has sent a message over it. */
  void onRelayMessage(VmId relay, byte[] message);

  /** A VM has answered over the connection that this relay opened to it. */
  void onOwnerMessage(VmId owner, byte[] message);

  /** The connection that this relay opened to a VM is lost; messages on their way may be lost. */
  void onOwnerLost(VmId owner);
}
