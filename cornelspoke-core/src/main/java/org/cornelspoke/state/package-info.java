/** Replicated state machine contract; the sub-packages implement the replicated state. */
package org.cornelspoke.state;
