package org.cornelspoke.coordination.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Read-index requests that wait for a heartbeat round that began after they arrived. */
final class ReadQueue {

  private record Waiting(long requestId, long index, long round) {}

  private final Deque<Waiting> waiting = new ArrayDeque<>();
  private final List<Long> early = new ArrayList<>();

  /** Keeps a request until the leader has committed an entry of its term. */
  void addEarly(long requestId) {
    early.add(requestId);
  }

  List<Long> takeEarly() {
    List<Long> taken = List.copyOf(early);
    early.clear();
    return taken;
  }

  void add(long requestId, long commitIndex, long round) {
    waiting.add(new Waiting(requestId, commitIndex, round));
  }

  boolean needsRound(long startedRound) {
    return !waiting.isEmpty() && waiting.getLast().round() > startedRound;
  }

  List<ReadResult> confirmed(long round) {
    List<ReadResult> results = new ArrayList<>();
    while (!waiting.isEmpty() && waiting.peek().round() <= round) {
      Waiting next = waiting.remove();
      results.add(new ReadResult(next.requestId(), true, next.index()));
    }
    return results;
  }

  List<ReadResult> failAll() {
    List<ReadResult> results = new ArrayList<>();
    waiting.forEach(w -> results.add(new ReadResult(w.requestId(), false, 0)));
    early.forEach(id -> results.add(new ReadResult(id, false, 0)));
    waiting.clear();
    early.clear();
    return results;
  }
}
