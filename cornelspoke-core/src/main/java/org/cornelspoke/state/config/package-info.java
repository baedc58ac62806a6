/** Versioned configuration entities, typed changes to them, and the audit trail. */
package org.cornelspoke.state.config;
