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

/** Keeps one link to the daemon of every known target, opened ahead of the first call. */
final class PeerLinks {

  private final Collaborators with;
  private final CallCodec codec;
  private final Random random = new Random();
  private final Map<Endpoint, PeerLink> links = new HashMap<>();
  private boolean stopped;

  PeerLinks(Collaborators with, CallCodec codec) {
    this.with = with;
    this.codec = codec;
  }

  /** Opens links to new targets and closes those to targets that have gone, once unused. */
  void follow(FleetView view) {
    if (stopped) {
      return;
    }
    Set<Endpoint> wanted = new HashSet<>();
    view.targets()
        .values()
        .forEach(targets -> targets.forEach(target -> addEndpoint(target, wanted)));
    Iterator<Map.Entry<Endpoint, PeerLink>> entries = links.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<Endpoint, PeerLink> entry = entries.next();
      if (!wanted.contains(entry.getKey())) {
        entries.remove();
        entry.getValue().stop();
      }
    }
    for (Endpoint endpoint : wanted) {
      links.computeIfAbsent(endpoint, this::open);
    }
  }

  /** Returns the link to a target, or null if there is none. */
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

  private void addEndpoint(Target target, Set<Endpoint> wanted) {
    if (!target.daemon().equals(with.settings().daemonId())) {
      wanted.add(target.linkEndpoint());
    }
  }

  private PeerLink open(Endpoint endpoint) {
    PeerLink link =
        new PeerLink(
            with.reactor(),
            endpoint,
            with.settings().daemonId().value(),
            codec,
            random,
            with.metrics().registry());
    link.start();
    return link;
  }
}
