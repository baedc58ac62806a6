/** Dissemination of configuration and targets to the daemons, with freshness proofs. */
package org.cornelspoke.coordination.dissemination;
