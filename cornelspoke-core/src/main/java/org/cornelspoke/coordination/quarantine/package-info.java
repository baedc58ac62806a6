/** Refusal of requests that crash the upstreams that run them. */
package org.cornelspoke.coordination.quarantine;
