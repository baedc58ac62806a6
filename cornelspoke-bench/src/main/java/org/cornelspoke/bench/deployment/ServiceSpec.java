package org.cornelspoke.bench.deployment;

import java.util.List;
import org.cornelspoke.bench.upstream.NestedCall;

/**
 * A service of a deployment.
 *
 * @param slots slots of each target
 * @param serviceMillis mean service time of the stand-in
 */
record ServiceSpec(
    String name, int targets, int slots, double serviceMillis, List<NestedCall> nestedCalls) {}
