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

/** What a member does with entries, heartbeats and snapshots from the leader of its term. */
final class FollowerState {

  private final RaftState s;
  private final SnapshotReceiver receiver = new SnapshotReceiver();

  FollowerState(RaftState state) {
    this.s = state;
  }

  void onHeartbeat(Heartbeat m) {
    s.commitTo(Math.min(m.commitIndex(), s.log.lastIndex()));
    s.outbox.sendWhenTermDurable(new HeartbeatResponse(s.self, m.from(), s.term, m.round()));
  }

  void onAppend(AppendRequest m) {
    if (m.prevIndex() < s.log.baseIndex()) {
      // Everything up to the base is committed and therefore equal to the leader's log.
      accept(m.from(), s.log.baseIndex());
      return;
    }
    if (!s.log.matches(m.prevIndex(), m.prevTerm())) {
      refuse(m);
      return;
    }
    appendNew(m.entries());
    long last = m.prevIndex() + m.entries().size();
    s.commitTo(Math.min(m.commitIndex(), last));
    accept(m.from(), last);
  }

  /** Returns a snapshot that must be restored into the state machine, or null. */
  Snapshot onSnapshot(SnapshotRequest m) {
    SnapshotChunk chunk = m.chunk();
    if (s.log.matches(chunk.index(), chunk.term())) {
      s.commitTo(chunk.index());
    }
    if (chunk.index() <= s.commitIndex) {
      receiver.clear();
      accept(m.from(), chunk.index());
      return null;
    }
    Snapshot whole = receiver.add(chunk);
    if (whole == null) {
      s.outbox.sendWhenTermDurable(
          new SnapshotResponse(s.self, m.from(), s.term, chunk.index(), receiver.nextOffset()));
      return null;
    }
    s.log.reset(whole.index(), whole.term());
    s.memberships.reset(whole.index(), Membership.decode(whole.membership()));
    s.snapshot = whole;
    s.commitTo(whole.index());
    s.outbox.persistSnapshot(whole, true);
    accept(m.from(), whole.index());
    return whole;
  }

  private void appendNew(List<LogEntry> entries) {
    int first = 0;
    while (first < entries.size()
        && s.log.matches(entries.get(first).index(), entries.get(first).term())) {
      first++;
    }
    if (first == entries.size()) {
      return;
    }
    List<LogEntry> added = entries.subList(first, entries.size());
    long from = added.get(0).index();
    if (from <= s.commitIndex) {
      throw new IllegalStateException("leader conflicts with committed entry " + from);
    }
    if (from <= s.log.lastIndex()) {
      s.log.truncateFrom(from);
      s.memberships.truncatedFrom(from);
    }
    for (LogEntry entry : added) {
      s.log.append(entry);
      s.memberships.appended(entry);
    }
    s.outbox.persistEntries(added);
  }

  private void accept(MemberIdentity to, long index) {
    s.outbox.sendWhenAllDurable(new AppendResponse(s.self, to, s.term, true, index, 0, 0));
  }

  private void refuse(AppendRequest m) {
    boolean missing = m.prevIndex() > s.log.lastIndex();
    long tryNext = missing ? s.log.lastIndex() + 1 : s.log.firstIndexOfTermAt(m.prevIndex());
    long conflictTerm = missing ? 0 : s.log.termAt(m.prevIndex());
    s.outbox.sendWhenTermDurable(
        new AppendResponse(s.self, m.from(), s.term, false, tryNext, m.prevIndex(), conflictTerm));
  }
}
