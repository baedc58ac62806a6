/** Entry point of the daemon: command line, logging and start of the services of its role. */
package org.cornelspoke.daemon;
