/** MessagePack encoding of the messages between the members of the control group. */
package org.cornelspoke.protocol.consensus;
