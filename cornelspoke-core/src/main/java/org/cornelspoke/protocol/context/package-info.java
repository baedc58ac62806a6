/** The signed call context that ties a nested call to its parent. */
package org.cornelspoke.protocol.context;
