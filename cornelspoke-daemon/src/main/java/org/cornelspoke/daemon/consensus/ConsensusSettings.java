package org.cornelspoke.daemon.consensus;

import org.cornelspoke.coordination.consensus.RaftSettings;
import org.cornelspoke.util.Assert;

/**
 * Settings of {@link ConsensusService}.
 *
 * @param entriesBetweenSnapshots applied entries after which a snapshot is stored; limits the
 *     entries that a restart must read and apply
 * @param bytesBetweenSnapshots size of the applied commands after which a snapshot is stored as
 *     well, or the size of the previous snapshot if that is larger
 * @param segmentBytes log file size after which a new file is created
 * @param requestTimeoutMillis time after which a proposal is reported as unknown and a read as
 *     unavailable
 */
public record ConsensusSettings(
    RaftSettings raft,
    int entriesBetweenSnapshots,
    long bytesBetweenSnapshots,
    long segmentBytes,
    long requestTimeoutMillis) {

  private static final long DEFAULT_BYTES_BETWEEN_SNAPSHOTS = 16L << 20;

  /** Defaults for production. */
  public static final ConsensusSettings DEFAULT =
      new ConsensusSettings(RaftSettings.DEFAULT, 10_000, 16 << 20, 5_000);

  /** Creates settings with the default size between snapshots. */
  public ConsensusSettings(
      RaftSettings raft,
      int entriesBetweenSnapshots,
      long segmentBytes,
      long requestTimeoutMillis) {
    this(
        raft,
        entriesBetweenSnapshots,
        DEFAULT_BYTES_BETWEEN_SNAPSHOTS,
        segmentBytes,
        requestTimeoutMillis);
  }

  /** Checks the values. */
  public ConsensusSettings {
    Assert.notNull(raft, "raft");
    Assert.isTrue(entriesBetweenSnapshots > 0, "entriesBetweenSnapshots must be positive");
    Assert.isTrue(bytesBetweenSnapshots > 0, "bytesBetweenSnapshots must be positive");
    Assert.isTrue(segmentBytes > 0, "segmentBytes must be positive");
    Assert.isTrue(requestTimeoutMillis > 0, "requestTimeoutMillis must be positive");
  }
}
