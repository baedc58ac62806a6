package org.cornelspoke.daemon.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.cornelspoke.coordination.consensus.ReplicatedLog.ProposalListener;
import org.cornelspoke.coordination.consensus.ReplicatedLog.ReadListener;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.log.LogEntry;

/**
 * Requests without a result, and the rules for their outcome. Each listener is called exactly once;
 * "not appended" is reported only for a command that was refused or whose place in the log a
 * different committed entry has taken.
 */
final class PendingRequests {

  private record Appended(long term, ProposalListener listener, long deadlineMillis) {}

  private record Forwarded(VmId leader, ProposalListener listener, long deadlineMillis) {}

  private record Read(VmId leader, ReadListener listener, long deadlineMillis) {}

  /** A result that is known but whose index is not applied here yet. */
  private record Waiting(Runnable onApplied, Runnable onEnded, long deadlineMillis) {}

  private final Map<Long, Appended> appended = new HashMap<>();
  private final Map<Long, Forwarded> forwarded = new HashMap<>();
  private final Map<Long, Read> reads = new HashMap<>();
  private final TreeMap<Long, List<Waiting>> untilApplied = new TreeMap<>();
  private long appliedIndex;

  void addAppended(long index, long term, ProposalListener listener, long deadlineMillis) {
    Appended before = appended.put(index, new Appended(term, listener, deadlineMillis));
    if (before != null) {
      // This member appended at the same index again, so the earlier entry was removed.
      before.listener().onUnknown("the entry was replaced by a later one");
    }
  }

  void addForwarded(long callId, VmId leader, ProposalListener listener, long deadlineMillis) {
    forwarded.put(callId, new Forwarded(leader, listener, deadlineMillis));
  }

  /** Adds a read; the leader is null if this member asks its own node. */
  void addRead(long requestId, VmId leader, ReadListener listener, long deadlineMillis) {
    reads.put(requestId, new Read(leader, listener, deadlineMillis));
  }

  /** A command or another entry was applied. */
  void onApplied(LogEntry entry, byte[] result) {
    appliedIndex = entry.index();
    Appended request = appended.remove(entry.index());
    if (request != null && request.term() == entry.term()) {
      request.listener().onCommitted(entry.index(), result);
    } else if (request != null) {
      request.listener().onNotAppended("another entry was committed at index " + entry.index());
    }
    runApplied();
  }

  /** A snapshot took the place of entries whose results are therefore not known. */
  void onRestored(long index) {
    appliedIndex = index;
    for (long i : List.copyOf(appended.keySet())) {
      if (i <= index) {
        appended.remove(i).listener().onUnknown("a snapshot replaced the entry");
      }
    }
    runApplied();
  }

  void onForwardedCommitted(long callId, long index, byte[] result) {
    Forwarded request = forwarded.remove(callId);
    if (request != null) {
      whenApplied(
          index,
          new Waiting(
              () -> request.listener().onCommitted(index, result),
              () -> request.listener().onUnknown("the entry was not applied here in time"),
              request.deadlineMillis()));
    }
  }

  void onForwardedFailed(long callId, boolean notAppended, String cause) {
    Forwarded request = forwarded.remove(callId);
    if (request != null && notAppended) {
      request.listener().onNotAppended(cause);
    } else if (request != null) {
      request.listener().onUnknown(cause);
    }
  }

  void onReadResult(long requestId, boolean confirmed, long index) {
    Read request = reads.remove(requestId);
    if (request != null && confirmed) {
      whenApplied(
          index,
          new Waiting(
              () -> request.listener().onCurrent(index),
              () -> request.listener().onUnavailable("the index was not applied here in time"),
              request.deadlineMillis()));
    } else if (request != null) {
      request.listener().onUnavailable("the leader was not confirmed by a quorum");
    }
  }

  /** The connection to a VM was lost, so its answers may never arrive. */
  void onDown(VmId vmId) {
    String cause = "the connection to " + vmId + " was lost";
    endForwarded(r -> r.leader().equals(vmId), cause);
    endReads(r -> vmId.equals(r.leader()), cause);
  }

  void expire(long nowMillis) {
    String cause = "no result in time";
    endAppended(r -> r.deadlineMillis() - nowMillis <= 0, cause);
    endForwarded(r -> r.deadlineMillis() - nowMillis <= 0, cause);
    endReads(r -> r.deadlineMillis() - nowMillis <= 0, cause);
    endWaiting(r -> r.deadlineMillis() - nowMillis <= 0);
  }

  void endAll(String cause) {
    endAppended(r -> true, cause);
    endForwarded(r -> true, cause);
    endReads(r -> true, cause);
    endWaiting(r -> true);
  }

  private void endAppended(Predicate<Appended> condition, String cause) {
    take(appended, condition).forEach(r -> r.listener().onUnknown(cause));
  }

  private void endForwarded(Predicate<Forwarded> condition, String cause) {
    take(forwarded, condition).forEach(r -> r.listener().onUnknown(cause));
  }

  private void endReads(Predicate<Read> condition, String cause) {
    take(reads, condition).forEach(r -> r.listener().onUnavailable(cause));
  }

  private void endWaiting(Predicate<Waiting> condition) {
    List<Waiting> taken = new ArrayList<>();
    untilApplied.values().forEach(list -> list.removeIf(r -> condition.test(r) && taken.add(r)));
    untilApplied.values().removeIf(List::isEmpty);
    taken.forEach(r -> r.onEnded().run());
  }

  private void whenApplied(long index, Waiting waiting) {
    if (index <= appliedIndex) {
      waiting.onApplied().run();
    } else {
      untilApplied.computeIfAbsent(index, i -> new ArrayList<>()).add(waiting);
    }
  }

  private void runApplied() {
    while (!untilApplied.isEmpty() && untilApplied.firstKey() <= appliedIndex) {
      untilApplied.pollFirstEntry().getValue().forEach(r -> r.onApplied().run());
    }
  }

  /** Removes before the listeners are called, because they may add requests. */
  private static <T> List<T> take(Map<Long, T> requests, Predicate<T> condition) {
    List<T> taken = new ArrayList<>();
    requests.values().removeIf(r -> condition.test(r) && taken.add(r));
    return taken;
  }
}
