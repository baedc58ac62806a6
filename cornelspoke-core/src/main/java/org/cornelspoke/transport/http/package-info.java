/** HTTP/1.1 edge with strict syntax checks, and pooled connections to upstreams. */
package org.cornelspoke.transport.http;
