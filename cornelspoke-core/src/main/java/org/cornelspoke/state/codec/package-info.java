/** Validating MessagePack codecs for the replicated configuration, registry and claims. */
package org.cornelspoke.state.codec;
