package org.cornelspoke.daemon.consensus;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import org.cornelspoke.coordination.consensus.RaftNode;

/**
 * Metrics of the replicated log. The control thread publishes the values of the gauges; any thread
 * may read the metrics.
 */
final class ConsensusMetrics {

  private static final String PREFIX = "consensus.";

  private final MetricRegistry registry;
  private volatile long term;
  private volatile long commitIndex;
  private volatile long appliedIndex;
  private final Timer syncTimer;
  private final Histogram batchEntries;
  private final Counter elections;
  private final Counter syncFailures;

  ConsensusMetrics(MetricRegistry registry, FolderCondition folder) {
    this.registry = registry;
    remove();
    registry.gauge(PREFIX + "term", () -> () -> term);
    registry.gauge(PREFIX + "commit-index", () -> () -> commitIndex);
    registry.gauge(PREFIX + "applied-index", () -> () -> appliedIndex);
    registry.gauge(
        PREFIX + "storage-failed", () -> () -> folder.refusalCause().isPresent() ? 1 : 0);
    registry.gauge(PREFIX + "storage-failed-seconds", () -> folder::refusingSeconds);
    this.syncTimer = registry.timer(PREFIX + "sync");
    this.batchEntries = registry.histogram(PREFIX + "batch-entries");
    this.elections = registry.counter(PREFIX + "elections");
    this.syncFailures = registry.counter(PREFIX + "sync-failures");
  }

  Timer syncTimer() {
    return syncTimer;
  }

  Histogram batchEntries() {
    return batchEntries;
  }

  Counter syncFailures() {
    return syncFailures;
  }

  void publish(RaftNode node, long newAppliedIndex) {
    term = node.term();
    commitIndex = node.commitIndex();
    appliedIndex = newAppliedIndex;
    long added = node.electionCount() - elections.getCount();
    if (added > 0) {
      elections.inc(added);
    }
  }

  void remove() {
    registry.removeMatching((name, metric) -> name.startsWith(PREFIX));
  }
}
