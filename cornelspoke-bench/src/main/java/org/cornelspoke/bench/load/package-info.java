/**
 * Open-loop load generator that checks every response and measures goodput, refusals and latency.
 */
package org.cornelspoke.bench.load;
