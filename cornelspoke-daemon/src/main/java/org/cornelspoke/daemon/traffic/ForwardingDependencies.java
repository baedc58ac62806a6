package org.cornelspoke.daemon.traffic;

import java.util.SplittableRandom;

/** The dependencies shared by all {@link Forwarding} instances. */
record ForwardingDependencies(
    Collaborators collaborators,
    LocalUpstreams upstreams,
    LocalCalls localCalls,
    PeerLinks links,
    TargetNotices notices,
    TargetEstimates estimates,
    SplittableRandom random) {

  /** Creates dependencies that remember no estimates yet. */
  ForwardingDependencies(
      Collaborators collaborators,
      LocalUpstreams upstreams,
      LocalCalls localCalls,
      PeerLinks links,
      TargetNotices notices,
      SplittableRandom random) {
    this(collaborators, upstreams, localCalls, links, notices, new TargetEstimates(), random);
  }
}
