/** MessagePack encoding of the messages between daemons, relays and the leader's relay. */
package org.cornelspoke.protocol.control;
