/** HTTP/1.1 over raw sockets, so that faults can be injected and detected at the byte level. */
package org.cornelspoke.bench.http;
