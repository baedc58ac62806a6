/** Immutable view of configuration and targets that traffic threads read. */
package org.cornelspoke.state.view;
