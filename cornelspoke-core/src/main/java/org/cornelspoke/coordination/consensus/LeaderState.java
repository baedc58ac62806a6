package org.cornelspoke.coordination.consensus;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import org.cornelspoke.coordination.consensus.RaftMessage.AppendRequest;
import org.cornelspoke.coordination.consensus.RaftMessage.AppendResponse;
import org.cornelspoke.coordination.consensus.RaftMessage.Heartbeat;
import org.cornelspoke.coordination.consensus.RaftMessage.HeartbeatResponse;
import org.cornelspoke.coordination.consensus.RaftMessage.SnapshotRequest;
import org.cornelspoke.coordination.consensus.RaftMessage.SnapshotResponse;
import org.cornelspoke.state.log.EntryKind;
import org.cornelspoke.state.log.LogEntry;
import org.cornelspoke.state.log.MemberIdentity;
import org.cornelspoke.state.log.Snapshot;

/** What a member does while it leads: replication, commit, heartbeats, read index. */
final class LeaderState {

  /** Heartbeats without an answer after which a snapshot chunk is sent again. */
  private static final int SNAPSHOT_RESEND_HEARTBEATS = 5;

  private final RaftState s;
  private final Map<MemberIdentity, Progress> progress = new TreeMap<>();
  private final ReadQueue reads = new ReadQueue();
  private final long termStartIndex;
  private long startedRound;
  private long nextHeartbeatNanos;

  LeaderState(RaftState state) {
    this.s = state;
    this.termStartIndex = s.appendOwn(EntryKind.NO_OP, new byte[0]).index();
    updateMembers();
    sendHeartbeats();
  }

  /** Returns false if a quorum has not answered for an election timeout. */
  boolean tick() {
    if (!s.membership().isQuorum(recentlyActive())) {
      return false;
    }
    if (s.nowNanos - nextHeartbeatNanos >= 0) {
      sendHeartbeats();
    }
    return true;
  }

  /** Sends what has accumulated since the last call. */
  void flush() {
    s.persistOwn();
    if (reads.needsRound(startedRound)) {
      sendHeartbeats();
    }
    progress.forEach(this::sendAppends);
  }

  /** Creates and removes progress records after a change of the membership. */
  void updateMembers() {
    for (Member member : s.membership().members()) {
      if (!member.identity().equals(s.self)) {
        progress.computeIfAbsent(
            member.identity(), id -> new Progress(s.log.lastIndex() + 1, s.nowNanos));
      }
    }
    progress.keySet().removeIf(id -> s.membership().find(id).isEmpty());
  }

  void onAppendResponse(AppendResponse m) {
    Progress p = progress.get(m.from());
    if (p == null) {
      return;
    }
    p.lastResponseNanos = s.nowNanos;
    if (m.accepted()) {
      onAccepted(p, m);
    } else {
      onRefused(p, m);
    }
  }

  void onHeartbeatResponse(HeartbeatResponse m) {
    Progress p = progress.get(m.from());
    if (p == null) {
      return;
    }
    p.lastResponseNanos = s.nowNanos;
    p.ackedRound = Math.max(p.ackedRound, Math.min(m.round(), startedRound));
    p.probeSent = false;
    switch (p.mode) {
      case PROBE -> {}
      case REPLICATE -> {
        if (p.inflight >= s.settings.maxInflightAppends()) {
          p.inflight--;
        }
        if (p.matchIndex < s.log.lastIndex() && p.nextIndex > s.log.lastIndex()) {
          // All entries were sent but not acknowledged: an empty request finds out about a loss.
          sendAppend(m.from(), p, List.of());
        }
      }
      case SNAPSHOT -> {
        long waited = s.nowNanos - p.snapshotSentNanos;
        if (waited >= SNAPSHOT_RESEND_HEARTBEATS * s.settings.heartbeatNanos()) {
          sendSnapshotChunk(m.from(), p);
        }
      }
    }
  }

  void onSnapshotResponse(SnapshotResponse m) {
    Progress p = progress.get(m.from());
    if (p == null || p.snapshot == null || p.snapshot.index() != m.index()) {
      return;
    }
    p.lastResponseNanos = s.nowNanos;
    if (m.nextOffsetBytes() <= p.snapshot.data().length) {
      p.snapshotOffset = m.nextOffsetBytes();
      sendSnapshotChunk(m.from(), p);
    }
  }

  /** Advances the commit index to what a quorum has synced; returns true if it moved. */
  boolean advanceCommit() {
    long index = quorumValue(p -> p.matchIndex, s.outbox.durableIndex());
    if (index > s.commitIndex && s.log.termAt(index) == s.term) {
      s.commitTo(index);
      reads.takeEarly().forEach(this::readIndex);
      return true;
    }
    return false;
  }

  void readIndex(long requestId) {
    if (s.commitIndex < termStartIndex) {
      reads.addEarly(requestId);
    } else {
      reads.add(requestId, s.commitIndex, startedRound + 1);
    }
  }

  List<ReadResult> confirmedReads() {
    return reads.confirmed(quorumValue(p -> p.ackedRound, startedRound));
  }

  List<ReadResult> failReads() {
    return reads.failAll();
  }

  /** Returns true if the previous membership change and an entry of this term are committed. */
  boolean mayChangeMembership() {
    return s.commitIndex >= termStartIndex && s.memberships.currentIndex() <= s.commitIndex;
  }

  /** Returns the last durable index of a member as far as it is known, or 0. */
  long matchIndex(MemberIdentity identity) {
    if (identity.equals(s.self)) {
      return s.outbox.durableIndex();
    }
    Progress p = progress.get(identity);
    return p == null ? 0 : p.matchIndex;
  }

  /** Sends again from the last acknowledged entry, after a connection was lost. */
  void onUnreachable(MemberIdentity identity) {
    Progress p = progress.get(identity);
    if (p != null && p.mode == Progress.Mode.REPLICATE) {
      p.toProbe();
    }
  }

  private void onAccepted(Progress p, AppendResponse m) {
    if (m.index() > s.log.lastIndex()) {
      return;
    }
    p.matchIndex = Math.max(p.matchIndex, m.index());
    p.nextIndex = Math.max(p.nextIndex, p.matchIndex + 1);
    p.inflight = p.matchIndex + 1 >= p.nextIndex ? 0 : Math.max(0, p.inflight - 1);
    boolean snapshotDone = p.snapshot != null && p.matchIndex >= p.snapshot.index();
    if (p.mode == Progress.Mode.PROBE || snapshotDone) {
      p.toReplicate();
    }
  }

  private void onRefused(Progress p, AppendResponse m) {
    boolean stale =
        p.mode == Progress.Mode.SNAPSHOT
            || m.prevIndex() <= p.matchIndex
            || (p.mode == Progress.Mode.PROBE && m.prevIndex() != p.nextIndex - 1);
    if (stale) {
      return;
    }
    long next = m.index();
    if (m.conflictTerm() > 0) {
      long last = s.log.lastIndexWithTermAtMost(m.prevIndex() - 1, m.conflictTerm());
      if (s.log.termAt(last) == m.conflictTerm()) {
        next = last + 1;
      }
    }
    p.toProbe();
    p.nextIndex = Math.max(p.matchIndex + 1, Math.min(next, m.prevIndex()));
  }

  private void sendHeartbeats() {
    startedRound++;
    nextHeartbeatNanos = s.nowNanos + s.settings.heartbeatNanos();
    progress.forEach(this::sendHeartbeat);
  }

  private void sendHeartbeat(MemberIdentity to, Progress p) {
    p.sentCommit = Math.min(s.commitIndex, p.matchIndex);
    s.outbox.send(new Heartbeat(s.self, to, s.term, p.sentCommit, startedRound));
  }

  private void sendAppends(MemberIdentity to, Progress p) {
    if (p.mode == Progress.Mode.PROBE && !p.probeSent) {
      p.probeSent = true;
      sendNext(to, p);
    }
    while (p.mode == Progress.Mode.REPLICATE
        && p.nextIndex <= s.log.lastIndex()
        && p.inflight < s.settings.maxInflightAppends()) {
      sendNext(to, p);
    }
    boolean commitNews = p.sentCommit < Math.min(s.commitIndex, p.matchIndex);
    if (p.mode == Progress.Mode.REPLICATE && commitNews) {
      sendHeartbeat(to, p);
    }
  }

  private void sendNext(MemberIdentity to, Progress p) {
    if (p.nextIndex - 1 < s.log.baseIndex()) {
      p.mode = Progress.Mode.SNAPSHOT;
      p.snapshot = s.snapshot;
      p.snapshotOffset = 0;
      sendSnapshotChunk(to, p);
      return;
    }
    List<LogEntry> entries = s.log.slice(p.nextIndex, s.settings.maxAppendBytes());
    sendAppend(to, p, entries);
    if (p.mode == Progress.Mode.REPLICATE) {
      p.nextIndex += entries.size();
      p.inflight++;
    }
  }

  private void sendAppend(MemberIdentity to, Progress p, List<LogEntry> entries) {
    long prevIndex = p.nextIndex - 1;
    p.sentCommit = Math.min(s.commitIndex, prevIndex + entries.size());
    s.outbox.send(
        new AppendRequest(
            s.self, to, s.term, prevIndex, s.log.termAt(prevIndex), entries, s.commitIndex));
  }

  private void sendSnapshotChunk(MemberIdentity to, Progress p) {
    Snapshot snapshot = p.snapshot;
    int offset = (int) p.snapshotOffset;
    int length = Math.min(s.settings.snapshotChunkBytes(), snapshot.data().length - offset);
    byte[] part = new byte[length];
    System.arraycopy(snapshot.data(), offset, part, 0, length);
    p.snapshotSentNanos = s.nowNanos;
    SnapshotChunk chunk =
        new SnapshotChunk(
            snapshot.index(),
            snapshot.term(),
            snapshot.membership(),
            snapshot.data().length,
            offset,
            part);
    s.outbox.send(new SnapshotRequest(s.self, to, s.term, chunk));
  }

  private Set<MemberIdentity> recentlyActive() {
    Set<MemberIdentity> active = new HashSet<>();
    active.add(s.self);
    progress.forEach(
        (id, p) -> {
          if (s.nowNanos - p.lastResponseNanos <= s.settings.electionTimeoutNanos()) {
            active.add(id);
          }
        });
    return active;
  }

  /** Returns the largest value that more than half of the voters have reached. */
  private long quorumValue(ToLongFunction<Progress> value, long ownValue) {
    long[] values =
        s.membership().members().stream()
            .filter(Member::voter)
            .mapToLong(
                m ->
                    m.identity().equals(s.self)
                        ? ownValue
                        : value.applyAsLong(progress.get(m.identity())))
            .sorted()
            .toArray();
    return values.length == 0 ? 0 : values[(values.length - 1) / 2];
  }
}
