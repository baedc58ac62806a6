/** Overload scenarios that run the daemon's decision classes in virtual time. */
package org.cornelspoke.bench.scenario;
