package org.cornelspoke.daemon.traffic;

/** What every request at the edge shares. */
record EdgeParts(
    Collaborators with,
    ForwardingParts forwarding,
    ParentCalls parents,
    Digests digests,
    DecisionLog decisions) {}
