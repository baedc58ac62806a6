package org.cornelspoke.daemon.relay;

import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.VmId;

/** Receives messages about rate shares. All methods are called on the control thread. */
public interface ShareEndpoint {

  /** Called when a daemon attaches to this relay; an earlier attachment of it has ended. */
  void onAttached(DaemonId daemon);

  /** Called when a daemon is no longer attached to this relay. */
  void onDetached(DaemonId daemon);

  /** Called for a message from an attached daemon. */
  void onDaemonMessage(DaemonId daemon, byte[] message);

  /** Called for a message from a relay that opened a connection to this VM. */
  void onRelayMessage(VmId relay, byte[] message);

  /** Called for a reply over the connection that this relay opened to the owner. */
  void onOwnerMessage(VmId owner, byte[] message);

  /** Called when the connection to the owner is lost; messages in transit may be lost too. */
  void onOwnerLost(VmId owner);
}
