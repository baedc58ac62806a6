package org.cornelspoke.daemon.relay;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.VmId;

/** Records what a relay reports about rate shares. */
final class RecordingShareEndpoint implements ShareEndpoint {

  final ConcurrentLinkedQueue<String> events = new ConcurrentLinkedQueue<>();

  @Override
  public void onAttached(DaemonId daemon) {
    events.add("attached " + daemon);
  }

  @Override
  public void onDetached(DaemonId daemon) {
    events.add("detached " + daemon);
  }

  @Override
  public void onDaemonMessage(DaemonId daemon, byte[] message) {
    events.add(daemon + ": " + new String(message, StandardCharsets.UTF_8));
  }

  @Override
  public void onRelayMessage(VmId relay, byte[] message) {
    events.add("relay " + relay + ": " + new String(message, StandardCharsets.UTF_8));
  }

  @Override
  public void onOwnerMessage(VmId owner, byte[] message) {
    events.add("owner " + owner + ": " + new String(message, StandardCharsets.UTF_8));
  }

  @Override
  public void onOwnerLost(VmId owner) {
    events.add("lost " + owner);
  }
}
