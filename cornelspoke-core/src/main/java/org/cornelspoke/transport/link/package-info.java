/** Length-prefixed frames over TCP, and links that carry calls between daemons in such frames. */
package org.cornelspoke.transport.link;
