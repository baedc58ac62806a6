/** Measurements of the control group's replicated log. */
package org.cornelspoke.bench.consensus;
