/** Bounds on retries: a budget for each root request and a ratio for each daemon. */
package org.cornelspoke.coordination.retry;
