package org.cornelspoke.coordination.consensus;

/**
 * Result of {@link RaftNode#readIndex}.
 *
 * @param confirmed false if the leadership ended before a quorum confirmed it
 * @param index if confirmed, the index that must be applied before the read
 */
public record ReadResult(long requestId, boolean confirmed, long index) {}
