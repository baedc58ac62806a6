/** HTTP server for the administration API, metrics and health of a daemon. */
package org.cornelspoke.daemon.admin;
