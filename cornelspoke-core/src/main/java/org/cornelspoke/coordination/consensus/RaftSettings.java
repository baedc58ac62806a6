package org.cornelspoke.coordination.consensus;

import org.cornelspoke.util.Assert;

/**
 * Timing and size limits of {@link RaftNode}.
 *
 * @param electionTimeoutNanos minimum time without a leader before an election; the actual timeout
 *     is chosen at random between this and twice this
 * @param maxAppendBytes command bytes per append request; frames are at most 1 MiB
 * @param maxInflightAppends maximum number of in-flight append requests to one member
 * @param trailingEntries entries before a snapshot that are kept in memory for members that lag
 */
public record RaftSettings(
    long heartbeatIntervalNanos,
    long electionTimeoutNanos,
    int maxAppendBytes,
    int maxInflightAppends,
    int snapshotChunkBytes,
    int trailingEntries) {

  /** Maximum command size, so that one entry with its envelope fits into a frame. */
  public static final int MAX_COMMAND_BYTES = 900_000;

  /**
   * Heartbeats every 100 ms and elections after 500 to 1,000 ms, so that a group has a new leader
   * about 1 s after it lost the old one.
   */
  public static final RaftSettings DEFAULT =
      new RaftSettings(100_000_000L, 500_000_000L, 512 * 1024, 64, 512 * 1024, 1000);

  /** Checks the values. */
  public RaftSettings {
    Assert.isTrue(heartbeatIntervalNanos > 0, "heartbeatIntervalNanos must be positive");
    Assert.isTrue(
        electionTimeoutNanos >= 2 * heartbeatIntervalNanos,
        "electionTimeoutNanos must be at least twice heartbeatIntervalNanos");
    Assert.isTrue(maxAppendBytes > 0, "maxAppendBytes must be positive");
    Assert.isTrue(maxInflightAppends > 0, "maxInflightAppends must be positive");
    Assert.isTrue(
        snapshotChunkBytes > 0 && snapshotChunkBytes <= MAX_COMMAND_BYTES,
        "snapshotChunkBytes must be between 1 and " + MAX_COMMAND_BYTES);
    Assert.isTrue(trailingEntries >= 0, "trailingEntries must not be negative");
  }
}
