/** The two deployments of the requirements as sets of local processes. */
package org.cornelspoke.bench.deployment;
