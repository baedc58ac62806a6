/** Argument checks and small helpers that every layer uses. */
package org.cornelspoke.util;
