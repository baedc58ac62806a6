/** Start of the daemon: command line, logging, and the hand-over to the services of its role. */
package org.cornelspoke.daemon;
