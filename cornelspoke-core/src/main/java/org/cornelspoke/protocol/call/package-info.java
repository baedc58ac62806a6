/** Messages between daemons that carry calls, their MessagePack codec and the result of a call. */
package org.cornelspoke.protocol.call;
