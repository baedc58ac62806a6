/** MessagePack encoding of the messages about rate shares. */
package org.cornelspoke.protocol.quota;
