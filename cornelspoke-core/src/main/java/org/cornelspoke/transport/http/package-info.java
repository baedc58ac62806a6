/** HTTP/1.1 server with strict syntax checks, and pooled client connections to upstreams. */
package org.cornelspoke.transport.http;
