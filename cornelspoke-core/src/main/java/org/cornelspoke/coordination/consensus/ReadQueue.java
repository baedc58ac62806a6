package org.cornelspoke.coordination.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Read-index requests that wait for a heartbeat round started after their arrival. */
final class ReadQueue {

  private record PendingRead(long requestId, long index, long round) {}

  private final Deque<PendingRead> pendingReads = new ArrayDeque<>();
  private final List<Long> readsBeforeFirstCommit = new ArrayList<>();

  /** Queues a request until the leader has committed an entry of its term. */
  void addBeforeFirstCommit(long requestId) {
    readsBeforeFirstCommit.add(requestId);
  }

  List<Long> takeBeforeFirstCommit() {
    List<Long> taken = List.copyOf(readsBeforeFirstCommit);
    readsBeforeFirstCommit.clear();
    return taken;
  }

  void add(long requestId, long commitIndex, long round) {
    pendingReads.add(new PendingRead(requestId, commitIndex, round));
  }

  boolean needsRound(long heartbeatRound) {
    return !pendingReads.isEmpty() && pendingReads.getLast().round() > heartbeatRound;
  }

  List<ReadResult> takeConfirmed(long round) {
    List<ReadResult> results = new ArrayList<>();
    while (!pendingReads.isEmpty() && pendingReads.peek().round() <= round) {
      PendingRead next = pendingReads.remove();
      results.add(new ReadResult(next.requestId(), true, next.index()));
    }
    return results;
  }

  List<ReadResult> failAll() {
    List<ReadResult> results = new ArrayList<>();
    pendingReads.forEach(read -> results.add(new ReadResult(read.requestId(), false, 0)));
    readsBeforeFirstCommit.forEach(id -> results.add(new ReadResult(id, false, 0)));
    pendingReads.clear();
    readsBeforeFirstCommit.clear();
    return results;
  }
}
