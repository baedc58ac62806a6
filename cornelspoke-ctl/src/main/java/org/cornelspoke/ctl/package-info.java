/** Placeholder. */
package org.cornelspoke.ctl;
