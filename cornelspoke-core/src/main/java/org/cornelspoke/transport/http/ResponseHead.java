package org.cornelspoke.transport.http;

import org.cornelspoke.protocol.call.Headers;

/**
 * A parsed and validated response head.
 *
 * @param contentLength value of {@code Content-Length}, or -1 if it is absent
 */
record ResponseHead(
    int status, Headers headers, long contentLength, boolean chunked, boolean keepAlive) {}
