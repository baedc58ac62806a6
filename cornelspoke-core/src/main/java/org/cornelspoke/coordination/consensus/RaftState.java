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

/** State that the parts of {@link RaftNode} share. */
final class RaftState {

  final RaftSettings settings;
  final MemberIdentity self;
  final RaftLog log;
  final MembershipHistory memberships;
  final Outbox outbox;
  private final List<LogEntry> ownEntries = new ArrayList<>();
  Snapshot snapshot;
  long term;
  Optional<MemberIdentity> vote;
  long commitIndex;
  long nowNanos;

  RaftState(RaftSettings settings, RecoveredLog recovered, long nowNanos) {
    this.settings = settings;
    this.self = recovered.identity();
    this.snapshot = recovered.snapshot().orElse(null);
    this.term = recovered.hardState().term();
    this.vote = recovered.hardState().vote();
    this.nowNanos = nowNanos;
    long baseIndex = snapshot == null ? 0 : snapshot.index();
    long baseTerm = snapshot == null ? 0 : snapshot.term();
    this.log = new RaftLog(baseIndex, baseTerm, recovered.entries());
    this.memberships =
        new MembershipHistory(
            baseIndex,
            snapshot == null ? Membership.EMPTY : Membership.decode(snapshot.membership()));
    recovered.entries().forEach(memberships::appended);
    this.commitIndex = baseIndex;
    this.outbox = new Outbox(log.lastIndex());
  }

  Membership membership() {
    return memberships.current();
  }

  void setTerm(long newTerm, Optional<MemberIdentity> newVote) {
    term = newTerm;
    vote = newVote;
    outbox.persistHardState(new HardState(newTerm, newVote));
  }

  void commitTo(long index) {
    commitIndex = Math.max(commitIndex, index);
  }

  /** Appends an entry of the current term; {@link #persistOwn} hands it out for persisting. */
  LogEntry appendOwn(EntryKind kind, byte[] data) {
    LogEntry entry = new LogEntry(log.lastIndex() + 1, term, kind, data);
    log.append(entry);
    memberships.appended(entry);
    ownEntries.add(entry);
    return entry;
  }

  /** Hands out the entries that were appended since the last call as one persist request. */
  void persistOwn() {
    if (!ownEntries.isEmpty()) {
      outbox.persistEntries(ownEntries);
      ownEntries.clear();
    }
  }
}
