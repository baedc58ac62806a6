package org.cornelspoke.coordination.consensus;

import java.util.List;
import org.cornelspoke.coordination.consensus.RaftMessage.AppendRequest;
import org.cornelspoke.coordination.consensus.RaftMessage.AppendResponse;
import org.cornelspoke.coordination.consensus.RaftMessage.Heartbeat;
import org.cornelspoke.coordination.consensus.RaftMessage.HeartbeatResponse;
import org.cornelspoke.coordination.consensus.RaftMessage.SnapshotRequest;
import org.cornelspoke.coordination.consensus.RaftMessage.SnapshotResponse;
import org.cornelspoke.state.log.LogEntry;
import org.cornelspoke.state.log.MemberIdentity;
import org.cornelspoke.state.log.Snapshot;

/** Handles entries, heartbeats and snapshots that the leader of the current term sends. */
final class FollowerState {

  private final RaftState state;
  private final SnapshotReceiver snapshotReceiver = new SnapshotReceiver();

  FollowerState(RaftState state) {
    this.state = state;
  }

  void onHeartbeat(Heartbeat request) {
    state.advanceCommitIndex(Math.min(request.commitIndex(), state.log.lastIndex()));
    state.outbox.sendWhenTermDurable(
        new HeartbeatResponse(state.self, request.from(), state.term, request.round()));
    confirmReceipt(request.from(), 0);
  }

  void onAppend(AppendRequest request) {
    if (request.prevIndex() < state.log.baseIndex()) {
      // Everything up to the base is committed and therefore equal to the leader's log.
      acknowledge(request.from(), state.log.baseIndex());
      confirmReceipt(request.from(), state.log.baseIndex());
      return;
    }
    if (!state.log.matches(request.prevIndex(), request.prevTerm())) {
      reject(request);
      return;
    }
    if (!request.entries().isEmpty() && !hasRoom()) {
      state.advanceCommitIndex(Math.min(request.commitIndex(), request.prevIndex()));
      return;
    }
    appendNew(request.entries());
    long lastIndex = request.prevIndex() + request.entries().size();
    state.advanceCommitIndex(Math.min(request.commitIndex(), lastIndex));
    acknowledge(request.from(), lastIndex);
    confirmReceipt(request.from(), lastIndex);
  }

  /** Returns the snapshot to restore into the state machine once it is complete, or null. */
  Snapshot onSnapshot(SnapshotRequest request) {
    SnapshotChunk chunk = request.chunk();
    if (state.log.matches(chunk.index(), chunk.term())) {
      state.advanceCommitIndex(chunk.index());
    }
    if (chunk.index() <= state.commitIndex) {
      snapshotReceiver.clear();
      acknowledge(request.from(), chunk.index());
      confirmReceipt(request.from(), chunk.index());
      return null;
    }
    Snapshot snapshot = snapshotReceiver.add(chunk);
    if (snapshot == null) {
      state.outbox.send(
          new SnapshotResponse(
              state.self,
              request.from(),
              state.term,
              chunk.index(),
              snapshotReceiver.nextOffsetBytes()));
      return null;
    }
    state.log.reset(snapshot.index(), snapshot.term());
    state.memberships.reset(snapshot.index(), Membership.decode(snapshot.membership()));
    state.snapshot = snapshot;
    state.advanceCommitIndex(snapshot.index());
    state.outbox.persistSnapshot(snapshot, true);
    acknowledge(request.from(), snapshot.index());
    confirmReceipt(request.from(), snapshot.index());
    return snapshot;
  }

  private void appendNew(List<LogEntry> entries) {
    int firstNew = 0;
    while (firstNew < entries.size()
        && state.log.matches(entries.get(firstNew).index(), entries.get(firstNew).term())) {
      firstNew++;
    }
    if (firstNew == entries.size()) {
      return;
    }
    List<LogEntry> newEntries = entries.subList(firstNew, entries.size());
    long fromIndex = newEntries.get(0).index();
    if (fromIndex <= state.commitIndex) {
      throw new IllegalStateException("leader conflicts with committed entry " + fromIndex);
    }
    if (fromIndex <= state.log.lastIndex()) {
      state.log.truncateFrom(fromIndex);
      state.memberships.truncateFrom(fromIndex);
    }
    for (LogEntry entry : newEntries) {
      state.log.append(entry);
      state.memberships.onAppended(entry);
    }
    state.outbox.persistEntries(newEntries);
  }

  private void acknowledge(MemberIdentity to, long index) {
    state.outbox.sendWhenAllDurable(
        new AppendResponse(state.self, to, state.term, true, index, 0, 0));
  }

  /**
   * Tells the leader at once what arrived if the acknowledgement may wait for long, so that it
   * keeps sending entries and the commit index: this VM then still learns what is committed.
   */
  private void confirmReceipt(MemberIdentity to, long receivedIndex) {
    boolean mayWait = state.storageFailed || !state.outbox.isHardStateDurable();
    if (mayWait && hasRoom()) {
      state.outbox.send(AppendResponse.receipt(state.self, to, state.term, receivedIndex));
    }
  }

  /** Returns false while as many bytes wait for a disk that does not answer as memory allows. */
  private boolean hasRoom() {
    return state.unsyncedBytes() < state.settings.maxUnsyncedBytes();
  }

  /** A rejection vouches for nothing durable, so it is sent at once. */
  private void reject(AppendRequest request) {
    boolean missing = request.prevIndex() > state.log.lastIndex();
    long nextIndex =
        missing ? state.log.lastIndex() + 1 : state.log.firstIndexOfTermAt(request.prevIndex());
    long conflictTerm = missing ? 0 : state.log.termAt(request.prevIndex());
    state.outbox.send(
        new AppendResponse(
            state.self,
            request.from(),
            state.term,
            false,
            nextIndex,
            request.prevIndex(),
            conflictTerm));
  }
}
