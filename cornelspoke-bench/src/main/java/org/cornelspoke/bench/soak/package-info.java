/** Random faults from a seed, and checks of the logs that a run leaves behind. */
package org.cornelspoke.bench.soak;
