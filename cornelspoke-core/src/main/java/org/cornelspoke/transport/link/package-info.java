/** TCP connections that carry length-prefixed frames between processes of the system. */
package org.cornelspoke.transport.link;
