/** Claims, which ensure that a request with an idempotency key runs at most once. */
package org.cornelspoke.state.claim;
