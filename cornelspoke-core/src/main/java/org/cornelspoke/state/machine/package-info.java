/** Replicated state machine of the control group's log: configuration, registry and claims. */
package org.cornelspoke.state.machine;
