/** Runs the control group's replicated log on an event loop, disk writer and peer connections. */
package org.cornelspoke.daemon.consensus;
