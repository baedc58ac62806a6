package org.cornelspoke.transport.http;

import org.cornelspoke.protocol.call.Headers;

/**
 * A checked response head.
 *
 * @param contentLength length that the head states, or -1
 */
record ResponseHead(
    int status, Headers headers, long contentLength, boolean chunked, boolean keepAlive) {}
