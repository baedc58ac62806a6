/** Replicated log: election, commit, membership changes and reads that are proved current. */
package org.cornelspoke.coordination.consensus;
