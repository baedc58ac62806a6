/** Spread of configuration and targets to the daemons, with proof of freshness. */
package org.cornelspoke.coordination.dissemination;
