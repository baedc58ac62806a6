/** The control group's replicated log on event loop, writer thread and peer connections. */
package org.cornelspoke.daemon.consensus;
