/** Builds the services of a process from its settings and runs them. */
package org.cornelspoke.daemon.runtime;
