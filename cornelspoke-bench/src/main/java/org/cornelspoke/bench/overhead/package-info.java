/** Measures what the daemons add to a call, by ratio in one run. */
package org.cornelspoke.bench.overhead;
