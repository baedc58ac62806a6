package org.cornelspoke.bench.load;

/**
 * A request that is due.
 *
 * @param sequence number of the request in the run
 * @param atNanos intended time since the start of the run
 */
record Arrival(
    long sequence,
    long atNanos,
    LoadPlan.Caller account,
    LoadPlan.CalledRoute route,
    String edge) {}
