/** Measurements of how configuration propagates from one relay to many daemons. */
package org.cornelspoke.bench.dissemination;
