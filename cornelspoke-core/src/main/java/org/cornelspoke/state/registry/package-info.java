/** Registry of the targets that upstreams have announced through their daemons. */
package org.cornelspoke.state.registry;
