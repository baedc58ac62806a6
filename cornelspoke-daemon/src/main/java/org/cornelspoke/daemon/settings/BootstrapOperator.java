package org.cornelspoke.daemon.settings;

import org.cornelspoke.model.OperatorId;

/**
 * The first operator of a new control group.
 *
 * @param tokenHashHex SHA-256 hash of the token in 64 lower-case hexadecimal digits
 */
public record BootstrapOperator(OperatorId id, String tokenHashHex) {}
