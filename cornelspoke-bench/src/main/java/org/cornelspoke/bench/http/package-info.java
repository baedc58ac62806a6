/** HTTP/1.1 over raw sockets, so that faults can be produced and detected byte by byte. */
package org.cornelspoke.bench.http;
