/** Immutable view of configuration and targets for the threads that handle traffic. */
package org.cornelspoke.state.view;
