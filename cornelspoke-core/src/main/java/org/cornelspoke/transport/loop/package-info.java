/** Construction and observation of event loops. */
package org.cornelspoke.transport.loop;
