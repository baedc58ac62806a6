/** Settings file of a daemon: settings records of both roles, parsing and validation. */
package org.cornelspoke.daemon.settings;
