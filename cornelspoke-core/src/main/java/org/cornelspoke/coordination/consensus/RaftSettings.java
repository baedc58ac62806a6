package org.cornelspoke.coordination.consensus;

import org.cornelspoke.util.Assert;

/**
 * Timing and size limits of {@link RaftNode}.
 *
 * @param electionTimeoutNanos minimum time without a leader before an election; the actual timeout
 *     is chosen at random between this and twice this
 * @param maxAppendBytes command bytes per append request; frames are at most 1 MiB
 * @param maxInflightAppends maximum number of in-flight append requests to one member
 * @param maxInflightBytes size of the in-flight append requests to one member above which no
 *     further one is sent
 * @param trailingEntries maximum number of entries before a snapshot that are kept in memory for
 *     members that lag
 * @param trailingBytes maximum size of these entries
 * @param maxUnsyncedBytes size of the entries that this member has not synced above which it
 *     refuses proposals, and takes no further entries of a leader
 * @param maxApplyBytes command bytes after which {@link RaftNode#takeCommitted} returns no further
 *     entry
 */
public record RaftSettings(
    long heartbeatIntervalNanos,
    long electionTimeoutNanos,
    int maxAppendBytes,
    int maxInflightAppends,
    long maxInflightBytes,
    int snapshotChunkBytes,
    int trailingEntries,
    long trailingBytes,
    long maxUnsyncedBytes,
    long maxApplyBytes) {

  private static final long DEFAULT_MAX_INFLIGHT_BYTES = 4L << 20;
  private static final long DEFAULT_TRAILING_BYTES = 8L << 20;
  private static final long DEFAULT_MAX_UNSYNCED_BYTES = 16L << 20;
  private static final long DEFAULT_MAX_APPLY_BYTES = 4L << 20;

  /** Maximum command size, so that one entry with its envelope fits into a frame. */
  public static final int MAX_COMMAND_BYTES = 900_000;

  /**
   * Heartbeats every 100 ms and elections after 500 to 1,000 ms, so that a group has a new leader
   * about 1 s after it lost the old one.
   */
  public static final RaftSettings DEFAULT =
      new RaftSettings(100_000_000L, 500_000_000L, 512 * 1024, 64, 512 * 1024, 1000);

  /** Creates settings with the default size limits. */
  public RaftSettings(
      long heartbeatIntervalNanos,
      long electionTimeoutNanos,
      int maxAppendBytes,
      int maxInflightAppends,
      int snapshotChunkBytes,
      int trailingEntries) {
    this(
        heartbeatIntervalNanos,
        electionTimeoutNanos,
        maxAppendBytes,
        maxInflightAppends,
        DEFAULT_MAX_INFLIGHT_BYTES,
        snapshotChunkBytes,
        trailingEntries,
        DEFAULT_TRAILING_BYTES,
        DEFAULT_MAX_UNSYNCED_BYTES,
        DEFAULT_MAX_APPLY_BYTES);
  }

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
    Assert.isTrue(maxInflightBytes > 0, "maxInflightBytes must be positive");
    Assert.isTrue(trailingEntries >= 0, "trailingEntries must not be negative");
    Assert.isTrue(trailingBytes >= 0, "trailingBytes must not be negative");
    Assert.isTrue(maxUnsyncedBytes > 0, "maxUnsyncedBytes must be positive");
    Assert.isTrue(maxApplyBytes > 0, "maxApplyBytes must be positive");
  }
}
