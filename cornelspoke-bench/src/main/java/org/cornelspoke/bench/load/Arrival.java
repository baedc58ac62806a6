package org.cornelspoke.bench.load;

/**
 * A request to send at a given time.
 *
 * @param sequence number of the request in the run
 * @param atNanos intended send time since the start of the run
 */
record Arrival(
    long sequence,
    long atNanos,
    LoadPlan.Caller account,
    LoadPlan.CalledRoute route,
    String edge) {}
