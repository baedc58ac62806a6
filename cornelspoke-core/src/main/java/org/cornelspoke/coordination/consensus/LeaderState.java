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

/** State and operations of a leader: replication, commit, heartbeats and read index. */
final class LeaderState {

  /** Heartbeat intervals without a reply after which a snapshot chunk is sent again. */
  private static final int SNAPSHOT_RESEND_HEARTBEATS = 5;

  /** Election timeouts for which a leader refuses proposals until it leaves the lead to others. */
  private static final int DISK_BEHIND_ELECTION_TIMEOUTS = 2;

  private final RaftState state;
  private final Set<MemberIdentity> lostMembers;
  private final Map<MemberIdentity, Progress> progressByMember = new TreeMap<>();
  private final ReadQueue reads = new ReadQueue();
  private final long termStartIndex;
  private long heartbeatRound;
  private long nextHeartbeatAtNanos;
  private long diskSufficedAtNanos;
  private boolean settlementScheduled;
  private long settlementAtNanos;

  /**
   * Creates the state of a leader that has just been elected.
   *
   * @param lostMembers identities that the election left out because they are lost
   */
  LeaderState(RaftState state, Set<MemberIdentity> lostMembers) {
    this.state = state;
    this.lostMembers = lostMembers;
    this.termStartIndex = state.append(EntryKind.NO_OP, new byte[0]).index();
    this.diskSufficedAtNanos = state.nowNanos;
    updateMembers();
    sendHeartbeats();
  }

  /**
   * Returns false if this member must not lead any longer: a quorum has not replied within the
   * election timeout, or the disk of this member is behind while those of a quorum keep up.
   */
  boolean tick() {
    if (!quorum().isReachedBy(recentlyActiveMembers()) || isDiskBehindOthers()) {
      return false;
    }
    if (state.nowNanos - nextHeartbeatAtNanos >= 0) {
      sendHeartbeats();
    }
    return true;
  }

  /** Persists new entries and sends the pending heartbeats and append requests. */
  void flush() {
    state.persistAppended();
    if (reads.needsRound(heartbeatRound)) {
      sendHeartbeats();
    }
    progressByMember.forEach(this::sendAppends);
  }

  /** Creates and removes progress records after a membership change. */
  void updateMembers() {
    for (Member member : state.membership().members()) {
      if (!member.identity().equals(state.self)) {
        progressByMember.computeIfAbsent(
            member.identity(), id -> new Progress(state.log.lastIndex() + 1, state.nowNanos));
      }
    }
    progressByMember.keySet().removeIf(id -> state.membership().find(id).isEmpty());
  }

  void onAppendResponse(AppendResponse response) {
    Progress progress = progressByMember.get(response.from());
    if (progress == null) {
      return;
    }
    if (response.isReceipt()) {
      onReceipt(progress, response);
      return;
    }
    progress.lastResponseAtNanos = state.nowNanos;
    if (response.accepted()) {
      onAccepted(progress, response);
    } else {
      onRejected(progress, response);
    }
  }

  void onHeartbeatResponse(HeartbeatResponse response) {
    Progress progress = progressByMember.get(response.from());
    if (progress == null) {
      return;
    }
    progress.lastResponseAtNanos = state.nowNanos;
    progress.acknowledgedRound =
        Math.max(progress.acknowledgedRound, Math.min(response.round(), heartbeatRound));
    resend(response.from(), progress);
  }

  void onSnapshotResponse(SnapshotResponse response) {
    Progress progress = progressByMember.get(response.from());
    if (progress == null
        || progress.snapshot == null
        || progress.snapshot.index() != response.index()) {
      return;
    }
    progress.lastResponseAtNanos = state.nowNanos;
    if (response.nextOffsetBytes() <= progress.snapshot.data().length) {
      progress.snapshotOffsetBytes = response.nextOffsetBytes();
      sendSnapshotChunk(response.from(), progress);
    }
  }

  /** Advances the commit index to what a quorum has synced; returns true if it changed. */
  boolean advanceCommit() {
    long index = quorumValue(progress -> progress.matchIndex, state.outbox.durableIndex());
    if (index > state.commitIndex && state.log.termAt(index) == state.term) {
      state.advanceCommitIndex(index);
      reads.takeBeforeFirstCommit().forEach(this::readIndex);
      return true;
    }
    return false;
  }

  void readIndex(long requestId) {
    if (state.commitIndex < termStartIndex) {
      reads.addBeforeFirstCommit(requestId);
    } else {
      reads.add(requestId, state.commitIndex, heartbeatRound + 1);
    }
  }

  List<ReadResult> takeConfirmedReads() {
    return reads.takeConfirmed(quorumValue(progress -> progress.acknowledgedRound, heartbeatRound));
  }

  List<ReadResult> failReads() {
    return reads.failAll();
  }

  /** Returns true if the previous membership change and an entry of this term are committed. */
  boolean canChangeMembership() {
    return state.commitIndex >= termStartIndex
        && state.memberships.currentIndex() <= state.commitIndex;
  }

  /**
   * Returns true if the change of the voters that is in progress is committed and is to be
   * completed now. The next change may follow it directly, so it gets a heartbeat interval for
   * that.
   */
  boolean isSettlementDue() {
    boolean committed = !state.membership().isSettled() && canChangeMembership();
    if (committed && !settlementScheduled) {
      settlementAtNanos = state.nowNanos + state.settings.heartbeatIntervalNanos();
    }
    settlementScheduled = committed;
    return committed && state.nowNanos - settlementAtNanos >= 0;
  }

  /** Returns the last known durable index of a member, or 0. */
  long matchIndex(MemberIdentity identity) {
    if (identity.equals(state.self)) {
      return state.outbox.durableIndex();
    }
    Progress progress = progressByMember.get(identity);
    return progress == null ? 0 : progress.matchIndex;
  }

  /** Resends from the last acknowledged entry after a connection was lost. */
  void onUnreachable(MemberIdentity identity) {
    Progress progress = progressByMember.get(identity);
    if (progress != null && progress.mode == Progress.Mode.REPLICATE) {
      progress.switchToProbe();
    }
  }

  /** Sends again what may have been lost, after the member has answered a heartbeat. */
  private void resend(MemberIdentity to, Progress progress) {
    progress.probeSent = false;
    switch (progress.mode) {
      case PROBE -> {}
      case REPLICATE -> {
        if (progress.inflightAppends >= state.settings.maxInflightAppends()) {
          progress.inflightAppends--;
        }
        boolean mustWaitForReplies =
            progress.nextIndex > state.log.lastIndex() || !hasInflightCapacity(progress);
        if (progress.matchIndex < state.log.lastIndex() && mustWaitForReplies) {
          // Requests or replies may have been lost: an empty request detects that.
          sendAppend(to, progress, List.of());
        }
      }
      case SNAPSHOT -> {
        long elapsedNanos = state.nowNanos - progress.snapshotSentAtNanos;
        if (elapsedNanos >= SNAPSHOT_RESEND_HEARTBEATS * state.settings.heartbeatIntervalNanos()) {
          sendSnapshotChunk(to, progress);
        }
      }
    }
  }

  /**
   * Goes on informing a member that can make nothing durable now. Heartbeats still tell it no
   * commit index beyond its durable entries: it may restart and then hold other entries there.
   */
  private void onReceipt(Progress progress, AppendResponse response) {
    long receivedIndex = response.prevIndex();
    if (receivedIndex == 0) {
      resend(response.from(), progress);
      return;
    }
    boolean received =
        switch (progress.mode) {
          case PROBE -> receivedIndex >= progress.nextIndex - 1;
          case REPLICATE -> false;
          case SNAPSHOT -> receivedIndex >= progress.snapshot.index();
        };
    if (received && receivedIndex <= state.log.lastIndex()) {
      progress.switchToReplicateAfter(receivedIndex);
    } else if (progress.mode == Progress.Mode.REPLICATE) {
      progress.inflightAppends = Math.max(0, progress.inflightAppends - 1);
    }
  }

  private void onAccepted(Progress progress, AppendResponse response) {
    if (response.index() > state.log.lastIndex()) {
      return;
    }
    progress.matchIndex = Math.max(progress.matchIndex, response.index());
    progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
    progress.inflightAppends =
        progress.matchIndex + 1 >= progress.nextIndex
            ? 0
            : Math.max(0, progress.inflightAppends - 1);
    boolean snapshotDone =
        progress.snapshot != null && progress.matchIndex >= progress.snapshot.index();
    if (progress.mode == Progress.Mode.PROBE || snapshotDone) {
      progress.switchToReplicate();
    }
  }

  private void onRejected(Progress progress, AppendResponse response) {
    boolean stale =
        progress.mode == Progress.Mode.SNAPSHOT
            || response.prevIndex() <= progress.matchIndex
            || (progress.mode == Progress.Mode.PROBE
                && response.prevIndex() != progress.nextIndex - 1);
    if (stale) {
      return;
    }
    long nextIndex = response.index();
    if (response.conflictTerm() > 0) {
      long lastIndex =
          state.log.lastIndexWithTermAtMost(response.prevIndex() - 1, response.conflictTerm());
      if (state.log.termAt(lastIndex) == response.conflictTerm()) {
        nextIndex = lastIndex + 1;
      }
    }
    progress.switchToProbe();
    progress.nextIndex =
        Math.max(progress.matchIndex + 1, Math.min(nextIndex, response.prevIndex()));
  }

  private void sendHeartbeats() {
    heartbeatRound++;
    nextHeartbeatAtNanos = state.nowNanos + state.settings.heartbeatIntervalNanos();
    progressByMember.forEach(this::sendHeartbeat);
  }

  private void sendHeartbeat(MemberIdentity to, Progress progress) {
    progress.sentCommitIndex = Math.min(state.commitIndex, progress.matchIndex);
    state.outbox.send(
        new Heartbeat(state.self, to, state.term, progress.sentCommitIndex, heartbeatRound));
  }

  private void sendAppends(MemberIdentity to, Progress progress) {
    if (progress.mode == Progress.Mode.PROBE && !progress.probeSent) {
      progress.probeSent = true;
      sendNext(to, progress);
    }
    while (progress.mode == Progress.Mode.REPLICATE
        && progress.nextIndex <= state.log.lastIndex()
        && hasInflightCapacity(progress)) {
      sendNext(to, progress);
    }
    boolean hasUnsentCommit =
        progress.sentCommitIndex < Math.min(state.commitIndex, progress.matchIndex);
    if (progress.mode == Progress.Mode.REPLICATE && hasUnsentCommit) {
      sendHeartbeat(to, progress);
    }
  }

  private boolean hasInflightCapacity(Progress progress) {
    return progress.inflightAppends < state.settings.maxInflightAppends()
        && state.log.bytesBetween(
                Math.max(progress.matchIndex, progress.receivedBaseIndex), progress.nextIndex - 1)
            < state.settings.maxInflightBytes();
  }

  private void sendNext(MemberIdentity to, Progress progress) {
    if (progress.nextIndex - 1 < state.log.baseIndex()) {
      progress.mode = Progress.Mode.SNAPSHOT;
      progress.snapshot = state.snapshot;
      progress.snapshotOffsetBytes = 0;
      sendSnapshotChunk(to, progress);
      return;
    }
    List<LogEntry> entries = state.log.slice(progress.nextIndex, state.settings.maxAppendBytes());
    sendAppend(to, progress, entries);
    if (progress.mode == Progress.Mode.REPLICATE) {
      progress.nextIndex += entries.size();
      progress.inflightAppends++;
    }
  }

  private void sendAppend(MemberIdentity to, Progress progress, List<LogEntry> entries) {
    long prevIndex = progress.nextIndex - 1;
    progress.sentCommitIndex = Math.min(state.commitIndex, prevIndex + entries.size());
    state.outbox.send(
        new AppendRequest(
            state.self,
            to,
            state.term,
            prevIndex,
            state.log.termAt(prevIndex),
            entries,
            state.commitIndex));
  }

  private void sendSnapshotChunk(MemberIdentity to, Progress progress) {
    Snapshot snapshot = progress.snapshot;
    int offset = (int) progress.snapshotOffsetBytes;
    int length = Math.min(state.settings.snapshotChunkBytes(), snapshot.data().length - offset);
    byte[] data = new byte[length];
    System.arraycopy(snapshot.data(), offset, data, 0, length);
    progress.snapshotSentAtNanos = state.nowNanos;
    SnapshotChunk chunk =
        new SnapshotChunk(
            snapshot.index(),
            snapshot.term(),
            snapshot.membership(),
            snapshot.data().length,
            offset,
            data);
    state.outbox.send(new SnapshotRequest(state.self, to, state.term, chunk));
  }

  private boolean isDiskBehindOthers() {
    boolean othersCommit = state.commitIndex > state.outbox.durableIndex();
    if (!state.isDiskBehind() || !othersCommit) {
      diskSufficedAtNanos = state.nowNanos;
    }
    return state.nowNanos - diskSufficedAtNanos
        >= DISK_BEHIND_ELECTION_TIMEOUTS * state.settings.electionTimeoutNanos();
  }

  private Set<MemberIdentity> recentlyActiveMembers() {
    Set<MemberIdentity> active = new HashSet<>();
    active.add(state.self);
    progressByMember.forEach(
        (id, progress) -> {
          if (state.nowNanos - progress.lastResponseAtNanos
              <= state.settings.electionTimeoutNanos()) {
            active.add(id);
          }
        });
    return active;
  }

  /** Returns the largest value that enough voters have reached. */
  private long quorumValue(ToLongFunction<Progress> value, long localValue) {
    return quorum()
        .highestReached(
            identity ->
                identity.equals(state.self)
                    ? localValue
                    : value.applyAsLong(progressByMember.get(identity)));
  }

  private Quorum quorum() {
    return Quorum.of(state.membership(), lostMembers);
  }
}
