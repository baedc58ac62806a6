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
import org.cornelspoke.protocol.consensus.PeerMessage;
import org.cornelspoke.state.log.LogEntry;

/**
 * Requests that await a result. Each listener is called exactly once; "not appended" is reported
 * only for a command that was refused or at whose index a different entry was committed.
 */
final class PendingRequests {

  private record Appended(long term, ProposalListener listener, long deadlineMillis) {}

  private record Forwarded(VmId leader, ProposalListener listener, long deadlineMillis) {}

  private record Read(VmId leader, ReadListener listener, long deadlineMillis) {}

  /** A request whose result is known but whose index is not applied on this member yet. */
  private record AwaitingApply(Runnable onApplied, Runnable onFailed, long deadlineMillis) {}

  private final Map<Long, Appended> appended = new HashMap<>();
  private final Map<Long, Forwarded> forwarded = new HashMap<>();
  private final Map<Long, Read> reads = new HashMap<>();
  private final TreeMap<Long, List<AwaitingApply>> awaitingApply = new TreeMap<>();
  private long appliedIndex;

  void addAppended(long index, long term, ProposalListener listener, long deadlineMillis) {
    Appended replaced = appended.put(index, new Appended(term, listener, deadlineMillis));
    if (replaced != null) {
      // This member appended at the same index again, so the earlier entry was removed.
      replaced.listener().onUnknown("the entry was replaced by a later one");
    }
  }

  void addForwarded(long callId, VmId leader, ProposalListener listener, long deadlineMillis) {
    forwarded.put(callId, new Forwarded(leader, listener, deadlineMillis));
  }

  /** Adds a read; the leader is null if the local node handles it. */
  void addRead(long requestId, VmId leader, ReadListener listener, long deadlineMillis) {
    reads.put(requestId, new Read(leader, listener, deadlineMillis));
  }

  /** Reports the results of requests that completed by applying the entry. */
  void onApplied(LogEntry entry, byte[] result) {
    appliedIndex = entry.index();
    Appended request = appended.remove(entry.index());
    if (request != null && request.term() == entry.term()) {
      request.listener().onCommitted(entry.index(), result);
    } else if (request != null) {
      request.listener().onNotAppended("another entry was committed at index " + entry.index());
    }
    completeApplied();
  }

  /** Handles a restored snapshot; the results of the entries that it replaced are unknown. */
  void onRestored(long index) {
    appliedIndex = index;
    for (long i : List.copyOf(appended.keySet())) {
      if (i <= index) {
        appended.remove(i).listener().onUnknown("a snapshot replaced the entry");
      }
    }
    completeApplied();
  }

  /** Handles a reply to a forwarded request; other messages are ignored. */
  void onMessage(PeerMessage message) {
    if (message instanceof PeerMessage.ProposeCommitted reply) {
      onForwardedCommitted(reply.requestId(), reply.index(), reply.result().array());
    } else if (message instanceof PeerMessage.ProposeFailed reply) {
      onForwardedFailed(reply.requestId(), reply.notAppended(), reply.cause());
    } else if (message instanceof PeerMessage.ReadReply reply) {
      onReadResult(reply.requestId(), reply.confirmed(), reply.index());
    }
  }

  void onForwardedCommitted(long callId, long index, byte[] result) {
    Forwarded request = forwarded.remove(callId);
    if (request != null) {
      runWhenApplied(
          index,
          new AwaitingApply(
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
      runWhenApplied(
          index,
          new AwaitingApply(
              () -> request.listener().onCurrent(index),
              () -> request.listener().onUnavailable("the index was not applied here in time"),
              request.deadlineMillis()));
    } else if (request != null) {
      request.listener().onUnavailable("the leader was not confirmed by a quorum");
    }
  }

  /** Fails the requests that await replies over a lost connection. */
  void onDisconnected(VmId vmId) {
    String cause = "the connection to " + vmId + " was lost";
    failForwarded(r -> r.leader().equals(vmId), cause);
    failReads(r -> vmId.equals(r.leader()), cause);
  }

  void expire(long nowMillis) {
    String cause = "no result in time";
    failAppended(r -> r.deadlineMillis() - nowMillis <= 0, cause);
    failForwarded(r -> r.deadlineMillis() - nowMillis <= 0, cause);
    failReads(r -> r.deadlineMillis() - nowMillis <= 0, cause);
    failAwaitingApply(r -> r.deadlineMillis() - nowMillis <= 0);
  }

  void failAll(String cause) {
    failAppended(r -> true, cause);
    failForwarded(r -> true, cause);
    failReads(r -> true, cause);
    failAwaitingApply(r -> true);
  }

  private void failAppended(Predicate<Appended> condition, String cause) {
    removeMatching(appended, condition).forEach(r -> r.listener().onUnknown(cause));
  }

  private void failForwarded(Predicate<Forwarded> condition, String cause) {
    removeMatching(forwarded, condition).forEach(r -> r.listener().onUnknown(cause));
  }

  private void failReads(Predicate<Read> condition, String cause) {
    removeMatching(reads, condition).forEach(r -> r.listener().onUnavailable(cause));
  }

  private void failAwaitingApply(Predicate<AwaitingApply> condition) {
    List<AwaitingApply> removed = new ArrayList<>();
    awaitingApply.values().forEach(list -> list.removeIf(r -> condition.test(r) && removed.add(r)));
    awaitingApply.values().removeIf(List::isEmpty);
    removed.forEach(r -> r.onFailed().run());
  }

  private void runWhenApplied(long index, AwaitingApply request) {
    if (index <= appliedIndex) {
      request.onApplied().run();
    } else {
      awaitingApply.computeIfAbsent(index, i -> new ArrayList<>()).add(request);
    }
  }

  private void completeApplied() {
    while (!awaitingApply.isEmpty() && awaitingApply.firstKey() <= appliedIndex) {
      awaitingApply.pollFirstEntry().getValue().forEach(r -> r.onApplied().run());
    }
  }

  /** Removes the requests before their listeners are called, which may add requests. */
  private static <T> List<T> removeMatching(Map<Long, T> requests, Predicate<T> condition) {
    List<T> removed = new ArrayList<>();
    requests.values().removeIf(r -> condition.test(r) && removed.add(r));
    return removed;
  }
}
