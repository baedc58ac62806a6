/** Signed call context that links a nested call to its parent call. */
package org.cornelspoke.protocol.context;
