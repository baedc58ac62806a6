package org.cornelspoke.daemon.traffic;

/** The dependencies shared by all requests at the edge. */
record EdgeDependencies(
    Collaborators collaborators,
    ForwardingDependencies forwarding,
    ParentCalls parents,
    Digests digests,
    DecisionLog decisions,
    StopState stopState) {}
