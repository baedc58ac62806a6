package org.cornelspoke.daemon.traffic;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.protocol.call.CallCodec;
import org.cornelspoke.state.registry.Target;
import org.cornelspoke.state.view.FleetView;
import org.cornelspoke.transport.link.PeerLink;

/** Maintains one link to the daemon of each known target, opened before the first call. */
final class PeerLinks {

  private final Collaborators collaborators;
  private final CallCodec codec;
  private final Random random = new Random();
  private final Map<Endpoint, PeerLink> links = new HashMap<>();
  private boolean stopped;

  PeerLinks(Collaborators collaborators, CallCodec codec) {
    this.collaborators = collaborators;
    this.codec = codec;
  }

  /** Opens links to new targets and closes links to removed targets once they are idle. */
  void applyView(FleetView view) {
    if (stopped) {
      return;
    }
    Set<Endpoint> requiredEndpoints = new HashSet<>();
    view.targets()
        .values()
        .forEach(targets -> targets.forEach(target -> addEndpoint(target, requiredEndpoints)));
    Iterator<Map.Entry<Endpoint, PeerLink>> entries = links.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<Endpoint, PeerLink> entry = entries.next();
      if (!requiredEndpoints.contains(entry.getKey())) {
        entries.remove();
        entry.getValue().stop();
      }
    }
    for (Endpoint endpoint : requiredEndpoints) {
      links.computeIfAbsent(endpoint, this::open);
    }
  }

  /** Returns the link to the daemon of a target, or null if there is none. */
  PeerLink find(Target target) {
    return links.get(target.linkEndpoint());
  }

  void onTick(long nowNanos) {
    links.values().forEach(link -> link.onTick(nowNanos));
  }

  void close() {
    stopped = true;
    links.values().forEach(PeerLink::abort);
    links.clear();
  }

  private void addEndpoint(Target target, Set<Endpoint> requiredEndpoints) {
    if (!target.daemon().equals(collaborators.settings().daemonId())) {
      requiredEndpoints.add(target.linkEndpoint());
    }
  }

  private PeerLink open(Endpoint endpoint) {
    PeerLink link =
        new PeerLink(
            collaborators.reactor(),
            endpoint,
            collaborators.settings().daemonId().value(),
            codec,
            random,
            collaborators.metrics().registry());
    link.start();
    return link;
  }
}
