/** Placeholder. */
package org.cornelspoke.daemon;
