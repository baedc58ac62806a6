/** Relay of a control daemon: serves attached daemons and the administration API's back end. */
package org.cornelspoke.daemon.relay;
