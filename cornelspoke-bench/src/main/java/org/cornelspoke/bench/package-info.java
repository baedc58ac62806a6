/** Placeholder. */
package org.cornelspoke.bench;
