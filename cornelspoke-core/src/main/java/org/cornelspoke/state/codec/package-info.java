/** MessagePack encoding of configuration, registry and claims, with every field checked. */
package org.cornelspoke.state.codec;
