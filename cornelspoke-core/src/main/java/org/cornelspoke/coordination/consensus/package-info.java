/** Raft replicated log: leader election, commit, membership changes and linearizable reads. */
package org.cornelspoke.coordination.consensus;
