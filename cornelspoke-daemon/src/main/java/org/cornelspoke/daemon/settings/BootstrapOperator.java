package org.cornelspoke.daemon.settings;

import org.cornelspoke.model.OperatorId;

/**
 * The first operator of a new control group.
 *
 * @param tokenHashHex SHA-256 of the token, 64 lower-case hexadecimal digits
 */
public record BootstrapOperator(OperatorId id, String tokenHashHex) {}
