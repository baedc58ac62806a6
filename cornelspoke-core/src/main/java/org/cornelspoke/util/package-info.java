/** Argument checks and timers shared by all layers. */
package org.cornelspoke.util;
