/** Client for the claims of requests that may run at most once. */
package org.cornelspoke.coordination.dedup;
