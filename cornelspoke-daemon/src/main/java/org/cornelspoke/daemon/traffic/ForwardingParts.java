package org.cornelspoke.daemon.traffic;

import java.util.SplittableRandom;

/** What every {@link Forwarding} shares. */
record ForwardingParts(
    Collaborators with,
    LocalUpstreams upstreams,
    LocalCalls localCalls,
    PeerLinks links,
    SplittableRandom random) {}
