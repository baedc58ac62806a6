/** Access to the claims for requests that may run at most once. */
package org.cornelspoke.coordination.dedup;
