/** Administration API and metrics over HTTP on the administration address of a daemon. */
package org.cornelspoke.daemon.admin;
