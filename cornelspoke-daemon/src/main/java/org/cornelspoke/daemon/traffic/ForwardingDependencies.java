package org.cornelspoke.daemon.traffic;

import java.util.SplittableRandom;

/** The dependencies shared by all {@link Forwarding} instances. */
record ForwardingDependencies(
    Collaborators collaborators,
    LocalUpstreams upstreams,
    LocalCalls localCalls,
    PeerLinks links,
    TargetNotices notices,
    SplittableRandom random) {}
