/** Measurement of how configuration spreads from one relay to many daemons. */
package org.cornelspoke.bench.dissemination;
