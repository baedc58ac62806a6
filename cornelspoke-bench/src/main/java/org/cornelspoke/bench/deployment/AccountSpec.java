package org.cornelspoke.bench.deployment;

/** A client account of a deployment with its limits and the load that it offers. */
record AccountSpec(String id, double ratePerSecond, double burst, int weight, double offered) {}
