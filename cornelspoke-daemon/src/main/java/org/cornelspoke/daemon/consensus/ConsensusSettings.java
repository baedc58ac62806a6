package org.cornelspoke.daemon.consensus;

import org.cornelspoke.coordination.consensus.RaftSettings;
import org.cornelspoke.util.Assert;

/**
 * Settings of {@link ConsensusService}.
 *
 * @param entriesBetweenSnapshots applied entries after which a snapshot is stored; limits the
 *     entries that a restart must read and apply
 * @param segmentBytes log file size after which a new file is created
 * @param requestTimeoutMillis time after which a proposal is reported as unknown and a read as
 *     unavailable
 */
public record ConsensusSettings(
    RaftSettings raft, int entriesBetweenSnapshots, long segmentBytes, long requestTimeoutMillis) {

  /** Defaults for production. */
  public static final ConsensusSettings DEFAULT =
      new ConsensusSettings(RaftSettings.DEFAULT, 10_000, 16 << 20, 5_000);

  /** Checks the values. */
  public ConsensusSettings {
    Assert.notNull(raft, "raft");
    Assert.isTrue(entriesBetweenSnapshots > 0, "entriesBetweenSnapshots must be positive");
    Assert.isTrue(segmentBytes > 0, "segmentBytes must be positive");
    Assert.isTrue(requestTimeoutMillis > 0, "requestTimeoutMillis must be positive");
  }
}
