package org.cornelspoke.daemon.consensus;

import java.util.concurrent.TimeUnit;
import org.apache.commons.math3.random.Well19937c;
import org.cornelspoke.coordination.consensus.RaftSettings;
import org.cornelspoke.coordination.retry.Backoff;
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
 * @param storageRetryBaseMillis upper bound of the pause after the first failed write or sync,
 *     which is drawn at random and doubles with each failed attempt to open the log again
 * @param storageRetryMaxMillis largest upper bound of these pauses
 */
public record ConsensusSettings(
    RaftSettings raft,
    int entriesBetweenSnapshots,
    long bytesBetweenSnapshots,
    long segmentBytes,
    long requestTimeoutMillis,
    long storageRetryBaseMillis,
    long storageRetryMaxMillis) {

  private static final long DEFAULT_STORAGE_RETRY_BASE_MILLIS = 100;

  /** Shorter than the time after which a client of the administration API gives up. */
  private static final long DEFAULT_STORAGE_RETRY_MAX_MILLIS = 2_000;

  private static final long DEFAULT_BYTES_BETWEEN_SNAPSHOTS = 16L << 20;

  /** Defaults for production. */
  public static final ConsensusSettings DEFAULT =
      new ConsensusSettings(RaftSettings.DEFAULT, 10_000, 16 << 20, 5_000);

  /** Creates settings with the default size between snapshots and the default retry pauses. */
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

  /** Creates settings with the default retry pauses. */
  public ConsensusSettings(
      RaftSettings raft,
      int entriesBetweenSnapshots,
      long bytesBetweenSnapshots,
      long segmentBytes,
      long requestTimeoutMillis) {
    this(
        raft,
        entriesBetweenSnapshots,
        bytesBetweenSnapshots,
        segmentBytes,
        requestTimeoutMillis,
        DEFAULT_STORAGE_RETRY_BASE_MILLIS,
        DEFAULT_STORAGE_RETRY_MAX_MILLIS);
  }

  /** Returns new pauses between the attempts to open the log. */
  Backoff storageRetryPause(long randomSeed) {
    return new Backoff(
        TimeUnit.MILLISECONDS.toNanos(storageRetryBaseMillis),
        TimeUnit.MILLISECONDS.toNanos(storageRetryMaxMillis),
        new Well19937c(randomSeed));
  }

  /** Checks the values. */
  public ConsensusSettings {
    Assert.notNull(raft, "raft");
    Assert.isTrue(entriesBetweenSnapshots > 0, "entriesBetweenSnapshots must be positive");
    Assert.isTrue(bytesBetweenSnapshots > 0, "bytesBetweenSnapshots must be positive");
    Assert.isTrue(segmentBytes > 0, "segmentBytes must be positive");
    Assert.isTrue(requestTimeoutMillis > 0, "requestTimeoutMillis must be positive");
    Assert.isTrue(storageRetryBaseMillis > 0, "storageRetryBaseMillis must be positive");
    Assert.isTrue(
        storageRetryMaxMillis >= storageRetryBaseMillis,
        "storageRetryMaxMillis must be at least storageRetryBaseMillis");
  }
}
