package org.cornelspoke.coordination.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cornelspoke.state.log.EntryKind;
import org.cornelspoke.state.log.HardState;
import org.cornelspoke.state.log.LogEntry;
import org.cornelspoke.state.log.MemberIdentity;
import org.cornelspoke.state.log.RecoveredLog;
import org.cornelspoke.state.log.Snapshot;

/** State shared by {@link RaftNode}, {@link LeaderState} and {@link FollowerState}. */
final class RaftState {

  final RaftSettings settings;
  final MemberIdentity self;
  final RaftLog log;
  final MembershipHistory memberships;
  final Outbox outbox;
  private final List<LogEntry> unpersistedEntries = new ArrayList<>();
  Snapshot snapshot;
  long term;
  Optional<MemberIdentity> votedFor;
  long commitIndex;
  long nowNanos;
  boolean storageFailed;

  RaftState(RaftSettings settings, RecoveredLog recovered, long nowNanos) {
    this.settings = settings;
    this.self = recovered.identity();
    this.snapshot = recovered.snapshot().orElse(null);
    this.term = recovered.hardState().term();
    this.votedFor = recovered.hardState().vote();
    this.nowNanos = nowNanos;
    long baseIndex = snapshot == null ? 0 : snapshot.index();
    long baseTerm = snapshot == null ? 0 : snapshot.term();
    this.log = new RaftLog(baseIndex, baseTerm, recovered.entries());
    this.memberships =
        new MembershipHistory(
            baseIndex,
            snapshot == null ? Membership.EMPTY : Membership.decode(snapshot.membership()));
    recovered.entries().forEach(memberships::onAppended);
    this.commitIndex = baseIndex;
    this.outbox = new Outbox(log.lastIndex());
  }

  Membership membership() {
    return memberships.current();
  }

  void setTerm(long newTerm, Optional<MemberIdentity> newVotedFor) {
    term = newTerm;
    votedFor = newVotedFor;
    outbox.persistHardState(new HardState(newTerm, newVotedFor));
  }

  /** Returns the size of the entries that are not durable. */
  long unsyncedBytes() {
    return log.bytesBetween(outbox.durableIndex(), log.lastIndex());
  }

  /** Returns true if so much is not durable that this member takes no further entries. */
  boolean isDiskBehind() {
    return unsyncedBytes() >= settings.maxUnsyncedBytes();
  }

  void advanceCommitIndex(long index) {
    commitIndex = Math.max(commitIndex, index);
  }

  /** Appends an entry of the current term; {@link #persistAppended} issues its persist request. */
  LogEntry append(EntryKind kind, byte[] data) {
    LogEntry entry = new LogEntry(log.lastIndex() + 1, term, kind, data);
    log.append(entry);
    memberships.onAppended(entry);
    unpersistedEntries.add(entry);
    return entry;
  }

  /** Issues one persist request for the entries appended since the last call. */
  void persistAppended() {
    if (!unpersistedEntries.isEmpty()) {
      outbox.persistEntries(unpersistedEntries);
      unpersistedEntries.clear();
    }
  }
}
