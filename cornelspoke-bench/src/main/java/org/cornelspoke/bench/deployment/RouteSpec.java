package org.cornelspoke.bench.deployment;

import org.cornelspoke.model.TrafficClass;

/**
 * A route of a deployment and the part of the load that calls it.
 *
 * @param weight part of each account's requests; 0 for routes that only upstreams call
 */
record RouteSpec(
    String id,
    String method,
    String path,
    String service,
    TrafficClass trafficClass,
    boolean open,
    boolean repeatable,
    double weight) {}
