package org.cornelspoke.coordination.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import org.cornelspoke.coordination.consensus.RaftMessage.AppendResponse;
import org.cornelspoke.coordination.consensus.RaftMessage.HeartbeatResponse;
import org.cornelspoke.state.log.HardState;
import org.cornelspoke.state.log.LogEntry;
import org.cornelspoke.state.log.Snapshot;

/**
 * Collects outgoing messages and persist requests. Defers each message until the state that it
 * depends on is durable; a deferred message that a newer one makes superfluous is dropped.
 */
final class Outbox {

  private record DeferredMessage(long sequence, RaftMessage message) {

    /**
     * Returns true if the other message tells its receiver nothing more and is not sent earlier in
     * the same term. Without this, a disk that refuses writes for hours would let the replies to
     * heartbeats fill the memory.
     */
    boolean covers(DeferredMessage other) {
      if (!message.getClass().equals(other.message.getClass())
          || !message.to().equals(other.message.to())
          || message.term() < other.message.term()) {
        return false;
      }
      if (message.term() > other.message.term()) {
        return true;
      }
      return sequence == other.sequence && coversInTerm(other.message);
    }

    private boolean coversInTerm(RaftMessage other) {
      if (message instanceof AppendResponse own && other instanceof AppendResponse response) {
        return own.accepted() == response.accepted() && own.index() >= response.index();
      }
      if (message instanceof HeartbeatResponse own && other instanceof HeartbeatResponse response) {
        return own.round() >= response.round();
      }
      return message.equals(other);
    }
  }

  private static final class PendingSync {
    final long sequence;
    long lastIndex;

    PendingSync(long sequence, long lastIndex) {
      this.sequence = sequence;
      this.lastIndex = lastIndex;
    }
  }

  private final Deque<DeferredMessage> deferred = new ArrayDeque<>();
  private final Deque<PendingSync> pendingSyncs = new ArrayDeque<>();
  private List<RaftMessage> messages = new ArrayList<>();
  private List<PersistRequest> persistRequests = new ArrayList<>();
  private long issuedSequence;
  private long durableSequence;
  private long hardStateSequence;
  private long durableIndex;

  Outbox(long durableIndex) {
    this.durableIndex = durableIndex;
  }

  /** Sends a message that does not depend on unsynced state. */
  void send(RaftMessage message) {
    messages.add(message);
  }

  /** Sends the message once the term and vote are durable. */
  void sendWhenTermDurable(RaftMessage message) {
    defer(hardStateSequence, message);
  }

  /** Sends the message once all persist requests issued so far are durable. */
  void sendWhenAllDurable(RaftMessage message) {
    defer(issuedSequence, message);
  }

  void persistHardState(HardState hardState) {
    hardStateSequence = ++issuedSequence;
    persistRequests.add(
        new PersistRequest(
            issuedSequence, Optional.of(hardState), List.of(), Optional.empty(), false));
  }

  void persistEntries(List<LogEntry> entries) {
    long first = entries.get(0).index();
    limitDurableIndex(first - 1);
    issuedSequence++;
    pendingSyncs.add(new PendingSync(issuedSequence, entries.get(entries.size() - 1).index()));
    persistRequests.add(
        new PersistRequest(
            issuedSequence, Optional.empty(), List.copyOf(entries), Optional.empty(), false));
  }

  /** Returns the sequence number whose completion makes the snapshot durable. */
  long persistSnapshot(Snapshot snapshot, boolean installed) {
    issuedSequence++;
    if (installed) {
      limitDurableIndex(0);
      pendingSyncs.add(new PendingSync(issuedSequence, snapshot.index()));
    }
    persistRequests.add(
        new PersistRequest(
            issuedSequence, Optional.empty(), List.of(), Optional.of(snapshot), installed));
    return issuedSequence;
  }

  void onPersisted(long sequence) {
    durableSequence = Math.max(durableSequence, sequence);
    while (!pendingSyncs.isEmpty() && pendingSyncs.peek().sequence <= durableSequence) {
      durableIndex = pendingSyncs.remove().lastIndex;
    }
    for (Iterator<DeferredMessage> i = deferred.iterator(); i.hasNext(); ) {
      DeferredMessage next = i.next();
      if (next.sequence() <= durableSequence) {
        messages.add(next.message());
        i.remove();
      }
    }
  }

  /** Returns the last index up to which the log in memory is durable. */
  long durableIndex() {
    return durableIndex;
  }

  boolean isHardStateDurable() {
    return durableSequence >= hardStateSequence;
  }

  /** Returns how many messages wait for the disk. */
  int deferredCount() {
    return deferred.size();
  }

  List<RaftMessage> takeMessages() {
    List<RaftMessage> taken = messages;
    messages = new ArrayList<>();
    return taken;
  }

  List<PersistRequest> takePersistRequests() {
    List<PersistRequest> taken = persistRequests;
    persistRequests = new ArrayList<>();
    return taken;
  }

  private void defer(long sequence, RaftMessage message) {
    if (durableSequence >= sequence) {
      messages.add(message);
      return;
    }
    DeferredMessage added = new DeferredMessage(sequence, message);
    if (deferred.stream().noneMatch(older -> older.covers(added))) {
      deferred.removeIf(added::covers);
      deferred.add(added);
    }
  }

  /** Lowers the durable index: a replaced suffix is not durable even if its predecessor was. */
  private void limitDurableIndex(long index) {
    durableIndex = Math.min(durableIndex, index);
    for (PendingSync pending : pendingSyncs) {
      pending.lastIndex = Math.min(pending.lastIndex, index);
    }
  }
}
