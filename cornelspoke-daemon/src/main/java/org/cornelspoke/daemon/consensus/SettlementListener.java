package org.cornelspoke.daemon.consensus;

import io.activej.reactor.nio.NioReactor;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.coordination.consensus.RaftNode;
import org.cornelspoke.coordination.consensus.ReplicatedLog.ProposalListener;

/**
 * Reports a membership change as committed once it is completed: until then the former voters count
 * as well, and the group bears no more losses than before the change.
 */
final class SettlementListener implements ProposalListener {

  private static final long POLL_INTERVAL_MILLIS = 20;

  /** A change is completed within a heartbeat interval and a commit, unless the leader is lost. */
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final NioReactor reactor;
  private final RaftNode node;
  private final ProposalListener listener;
  private final long startNanos = System.nanoTime();

  SettlementListener(NioReactor reactor, RaftNode node, ProposalListener listener) {
    this.reactor = reactor;
    this.node = node;
    this.listener = listener;
  }

  @Override
  public void onCommitted(long index, byte[] result) {
    if (node.committedMembership().isSettled()) {
      listener.onCommitted(index, result);
    } else if (System.nanoTime() - startNanos > TIMEOUT_NANOS) {
      listener.onUnknown("the change is committed, but it is not completed yet");
    } else {
      reactor.delayBackground(POLL_INTERVAL_MILLIS, () -> onCommitted(index, result));
    }
  }

  @Override
  public void onNotAppended(String cause) {
    listener.onNotAppended(cause);
  }

  @Override
  public void onUnknown(String cause) {
    listener.onUnknown(cause);
  }
}
