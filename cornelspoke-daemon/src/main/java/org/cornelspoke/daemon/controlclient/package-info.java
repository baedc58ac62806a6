/** The daemon's connection to the control group: configuration, claims, targets and shares. */
package org.cornelspoke.daemon.controlclient;
