/** Rate shares that keep an account within its rate and burst over all daemons. */
package org.cornelspoke.coordination.quota;
