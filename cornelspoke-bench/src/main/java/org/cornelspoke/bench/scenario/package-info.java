/** Overload scenarios in virtual time over the decision classes of the daemon. */
package org.cornelspoke.bench.scenario;
