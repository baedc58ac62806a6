/** The relay of a control daemon, and the backend of the administration API. */
package org.cornelspoke.daemon.relay;
