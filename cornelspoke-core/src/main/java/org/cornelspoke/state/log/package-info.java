/**
 * Durable storage of a replicated log: entries, term, vote, identity and snapshots in one folder.
 */
package org.cornelspoke.state.log;
