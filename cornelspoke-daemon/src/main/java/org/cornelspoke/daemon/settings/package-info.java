/** Settings file of a daemon: records of both roles, parsing and validation. */
package org.cornelspoke.daemon.settings;
