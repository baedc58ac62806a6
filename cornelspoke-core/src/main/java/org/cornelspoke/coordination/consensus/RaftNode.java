package org.cornelspoke.coordination.consensus;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.apache.commons.math3.random.RandomGenerator;
import org.cornelspoke.coordination.consensus.RaftMessage.AppendRequest;
import org.cornelspoke.coordination.consensus.RaftMessage.AppendResponse;
import org.cornelspoke.coordination.consensus.RaftMessage.Heartbeat;
import org.cornelspoke.coordination.consensus.RaftMessage.HeartbeatResponse;
import org.cornelspoke.coordination.consensus.RaftMessage.PreVoteRequest;
import org.cornelspoke.coordination.consensus.RaftMessage.PreVoteResponse;
import org.cornelspoke.coordination.consensus.RaftMessage.SnapshotRequest;
import org.cornelspoke.coordination.consensus.RaftMessage.SnapshotResponse;
import org.cornelspoke.coordination.consensus.RaftMessage.VoteRequest;
import org.cornelspoke.coordination.consensus.RaftMessage.VoteResponse;
import org.cornelspoke.state.log.EntryKind;
import org.cornelspoke.state.log.LogEntry;
import org.cornelspoke.state.log.MemberIdentity;
import org.cornelspoke.state.log.RecoveredLog;
import org.cornelspoke.state.log.Snapshot;
import org.cornelspoke.util.Assert;

/**
 * One member of the control group: the Raft algorithm without threads, sockets, files or clocks.
 *
 * <p>The driver passes in messages, ticks, proposals and completions of syncs, and after each of
 * them takes messages, persist requests, committed entries and read results out. Persist requests
 * must be carried out in order. Messages that vouch for a term, vote or entry are held back here
 * until {@link #persisted} reports that it is durable, so the driver may send at once what it
 * takes.
 *
 * <p>Not safe for use by several threads.
 */
public final class RaftNode {

  /** Role in the current term. */
  public enum Role {
    /** Follows a leader or waits for one. */
    FOLLOWER,
    /** Asks whether an election could succeed. */
    PRE_CANDIDATE,
    /** Asks for votes. */
    CANDIDATE,
    /** Leads. */
    LEADER
  }

  private final RaftState s;
  private final RandomGenerator random;
  private final FollowerState follower;

  /**
   * Part of the election timeout within which restarted members ask for preliminary votes, and ask
   * again; they do so at different times, so that they rarely compete.
   */
  private static final double PRE_VOTE_PART = 0.4;

  /** A promise lasts for some round trips and syncs, also of processes that have just started. */
  private static final int PROMISES_PER_TIMEOUT = 4;

  private final Set<MemberIdentity> granted = new HashSet<>();
  private final List<ReadResult> readResults = new ArrayList<>();
  private Role role = Role.FOLLOWER;
  private LeaderState leading;
  private MemberIdentity leader;
  private long electionDeadlineNanos;
  private long leaderContactNanos;
  private MemberIdentity promisedTo;
  private long promisedUntilNanos;
  private long electionCount;
  private boolean storageFailed;
  private long emittedIndex;
  private Snapshot pendingRestore;
  private long snapshotSequence;

  /**
   * Creates a member from what its data folder held. A snapshot among it is returned by {@link
   * #takeRestore}.
   *
   * @param random source of the election timeouts
   */
  public RaftNode(
      RaftSettings settings, RecoveredLog recovered, RandomGenerator random, long nowNanos) {
    this.s = new RaftState(settings, recovered, nowNanos);
    this.random = Assert.notNull(random, "random");
    this.follower = new FollowerState(s);
    this.pendingRestore = s.snapshot;
    this.emittedIndex = s.commitIndex;
    promisedUntilNanos = nowNanos;
    resetElectionTimer();
    if (!isBlank()) {
      // Members that hear a leader refuse a preliminary vote, so a restarted one may ask early.
      electionDeadlineNanos = nowNanos + random(PRE_VOTE_PART);
    }
    if (s.membership().voterCount() == 1) {
      // No other member can lead, so waiting for a leader would only lengthen the restart.
      electionDeadlineNanos = nowNanos;
    }
  }

  /**
   * Forms the group, on exactly one VM, whose folder is empty like those of all the other members.
   *
   * @throws IllegalArgumentException if this member has a log or is not among the voters
   */
  public void bootstrap(Membership membership) {
    Assert.isTrue(isBlank(), "a member with a log must not bootstrap a group");
    Assert.isTrue(membership.isVoter(s.self), "the bootstrapping member must be a voter");
    if (s.term == 0) {
      s.setTerm(1, Optional.empty());
    }
    s.appendOwn(EntryKind.MEMBERSHIP, membership.encode());
    s.persistOwn();
    electionDeadlineNanos = s.nowNanos;
  }

  /** Returns true if the member has neither a log nor a snapshot. */
  public boolean isBlank() {
    return s.log.lastIndex() == 0;
  }

  /** Advances the clock. */
  public void tick(long nowNanos) {
    s.nowNanos = nowNanos;
    if (storageFailed) {
      return;
    }
    s.persistOwn();
    if (role == Role.LEADER) {
      if (!leading.tick()) {
        becomeFollower(s.term, null);
      }
    } else if (nowNanos - electionDeadlineNanos >= 0) {
      campaign();
    }
  }

  /** Handles a message. Messages for another identity are dropped. */
  public void receive(RaftMessage message, long nowNanos) {
    s.nowNanos = nowNanos;
    if (storageFailed || !message.to().equals(s.self)) {
      return;
    }
    s.persistOwn();
    if (message instanceof PreVoteRequest m) {
      onPreVoteRequest(m);
      return;
    }
    if (message instanceof PreVoteResponse m && m.granted()) {
      onPreVoteGranted(m);
      return;
    }
    if (message instanceof VoteRequest && message.term() > s.term && hasRecentLeader()) {
      return;
    }
    if (message.term() > s.term) {
      becomeFollower(message.term(), null);
    }
    if (message.term() < s.term) {
      answerOldTerm(message);
      return;
    }
    dispatch(message);
  }

  /** Reports that all persist requests up to the sequence number are durable. */
  public void persisted(long sequence) {
    if (storageFailed) {
      return;
    }
    s.persistOwn();
    s.outbox.persisted(sequence);
    if (role == Role.CANDIDATE && s.outbox.isHardStateDurable()) {
      countVote(s.self);
    }
    if (snapshotSequence > 0 && sequence >= snapshotSequence) {
      snapshotSequence = 0;
      s.log.removeUpTo(
          Math.max(s.log.baseIndex(), s.snapshot.index() - s.settings.trailingEntries()));
    }
    advanceCommit();
  }

  /**
   * Reports that a write or sync failed. The member gives up leadership and from then on neither
   * votes nor acknowledges.
   */
  public void persistFailed() {
    if (!storageFailed) {
      becomeFollower(s.term, null);
      s.outbox.clear();
      storageFailed = true;
    }
  }

  /**
   * Appends a command if this member leads.
   *
   * @return the index, or empty if this member does not lead
   * @throws IllegalArgumentException if the command is larger than {@link
   *     RaftSettings#MAX_COMMAND_BYTES}
   */
  public OptionalLong propose(byte[] command) {
    Assert.isTrue(
        command.length <= RaftSettings.MAX_COMMAND_BYTES,
        "command must be at most " + RaftSettings.MAX_COMMAND_BYTES + " bytes");
    if (role != Role.LEADER) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(s.appendOwn(EntryKind.COMMAND, command).index());
  }

  /** Asks for a read index; {@link #takeReadResults} returns the result. */
  public void readIndex(long requestId) {
    if (role == Role.LEADER) {
      leading.readIndex(requestId);
    } else {
      readResults.add(new ReadResult(requestId, false, 0));
    }
  }

  /**
   * Appends a membership that differs from the present one in one member, if this member leads.
   *
   * @return the index of the entry
   * @throws MembershipRefusedException if the change is not allowed now; nothing was appended
   */
  public long changeMembership(MembershipChange change) throws MembershipRefusedException {
    if (role != Role.LEADER) {
      throw new MembershipRefusedException("this member does not lead");
    }
    if (!leading.mayChangeMembership()) {
      throw new MembershipRefusedException("another membership change is not committed yet");
    }
    Membership changed = change.applyTo(s.membership(), leading::matchIndex, s.commitIndex);
    long index = s.appendOwn(EntryKind.MEMBERSHIP, changed.encode()).index();
    leading.updateMembers();
    return index;
  }

  /** Reports that a connection was lost, so that unanswered requests are sent again. */
  public void unreachable(MemberIdentity identity) {
    if (role == Role.LEADER) {
      leading.onUnreachable(identity);
    }
  }

  /**
   * Stores the state of the state machine as a snapshot and shortens the log once it is durable.
   *
   * @param index the last applied index
   */
  public void snapshotTaken(long index, byte[] data) {
    Assert.isTrue(index <= emittedIndex, "index must not be after the last applied entry");
    boolean useful = index > 0 && (s.snapshot == null || index > s.snapshot.index());
    if (!useful || storageFailed) {
      return;
    }
    s.persistOwn();
    s.snapshot = new Snapshot(index, s.log.termAt(index), s.memberships.at(index).encode(), data);
    s.memberships.compactedUpTo(index);
    snapshotSequence = s.outbox.persistSnapshot(s.snapshot, false);
  }

  /** Returns the messages to send now. */
  public List<RaftMessage> takeMessages() {
    if (role == Role.LEADER) {
      leading.flush();
      readResults.addAll(leading.confirmedReads());
    }
    return s.outbox.takeMessages();
  }

  /** Returns the data to make durable, in order. */
  public List<PersistRequest> takePersistRequests() {
    s.persistOwn();
    return s.outbox.takePersistRequests();
  }

  /** Returns a snapshot to restore before the entries of {@link #takeCommitted} are applied. */
  public Optional<Snapshot> takeRestore() {
    Optional<Snapshot> taken = Optional.ofNullable(pendingRestore);
    pendingRestore = null;
    return taken;
  }

  /** Returns the entries that were committed since the last call, in order. */
  public List<LogEntry> takeCommitted() {
    List<LogEntry> entries = new ArrayList<>();
    while (emittedIndex < s.commitIndex) {
      entries.add(s.log.entry(++emittedIndex));
    }
    return entries;
  }

  /** Returns the read results since the last call. */
  public List<ReadResult> takeReadResults() {
    List<ReadResult> taken = List.copyOf(readResults);
    readResults.clear();
    return taken;
  }

  /** Returns the role. */
  public Role role() {
    return role;
  }

  /** Returns the leader of the current term, if known. */
  public Optional<MemberIdentity> leader() {
    return Optional.ofNullable(leader);
  }

  /** Returns the current term. */
  public long term() {
    return s.term;
  }

  /** Returns the highest index known to be committed. */
  public long commitIndex() {
    return s.commitIndex;
  }

  /** Returns the index of the last entry in the log. */
  public long lastIndex() {
    return s.log.lastIndex();
  }

  /** Returns the identity of the data folder. */
  public MemberIdentity identity() {
    return s.self;
  }

  /** Returns the membership in force. */
  public Membership membership() {
    return s.membership();
  }

  /** Returns a member's last durable index as this leader knows it, or 0. */
  public long matchIndex(MemberIdentity identity) {
    return role == Role.LEADER ? leading.matchIndex(identity) : 0;
  }

  /** Returns how many elections this member has started. */
  public long electionCount() {
    return electionCount;
  }

  /** Returns true after {@link #persistFailed}. */
  public boolean isStorageFailed() {
    return storageFailed;
  }

  private void dispatch(RaftMessage message) {
    if (message instanceof VoteRequest m) {
      onVoteRequest(m);
    } else if (message instanceof VoteResponse m) {
      if (role == Role.CANDIDATE && m.granted()) {
        countVote(m.from());
      }
    } else if (message instanceof AppendRequest m) {
      followLeader(m.from());
      follower.onAppend(m);
    } else if (message instanceof Heartbeat m) {
      followLeader(m.from());
      follower.onHeartbeat(m);
    } else if (message instanceof SnapshotRequest m) {
      followLeader(m.from());
      Snapshot installed = follower.onSnapshot(m);
      if (installed != null) {
        pendingRestore = installed;
        emittedIndex = installed.index();
        snapshotSequence = 0;
      }
    } else if (role == Role.LEADER) {
      dispatchToLeader(message);
    }
  }

  private void dispatchToLeader(RaftMessage message) {
    if (message instanceof AppendResponse m) {
      leading.onAppendResponse(m);
      advanceCommit();
    } else if (message instanceof HeartbeatResponse m) {
      leading.onHeartbeatResponse(m);
    } else if (message instanceof SnapshotResponse m) {
      leading.onSnapshotResponse(m);
    }
  }

  private void advanceCommit() {
    if (role == Role.LEADER && leading.advanceCommit()) {
      boolean settled = s.memberships.currentIndex() <= s.commitIndex;
      if (settled && !s.membership().isVoter(s.self)) {
        leading.flush();
        becomeFollower(s.term, null);
      }
    }
  }

  private void onPreVoteRequest(PreVoteRequest m) {
    boolean grant =
        m.term() > s.term
            && !hasRecentLeader()
            && s.log.isUpToDate(m.lastIndex(), m.lastTerm())
            && promisePreVote(m.from());
    s.outbox.sendWhenTermDurable(
        new PreVoteResponse(s.self, m.from(), grant ? m.term() : s.term, grant));
  }

  /**
   * Promises this member's preliminary vote to one candidate for a moment, so that members that
   * start together do not compete for the votes of one term.
   */
  private boolean promisePreVote(MemberIdentity candidate) {
    if (s.nowNanos - promisedUntilNanos < 0 && !candidate.equals(promisedTo)) {
      return false;
    }
    promisedTo = candidate;
    promisedUntilNanos = s.nowNanos + s.settings.electionTimeoutNanos() / PROMISES_PER_TIMEOUT;
    return true;
  }

  private void onPreVoteGranted(PreVoteResponse m) {
    if (role == Role.PRE_CANDIDATE
        && m.term() == s.term + 1
        && s.membership().isVoter(m.from())
        && granted.add(m.from())
        && s.membership().isQuorum(granted)) {
      startElection();
    }
  }

  private void onVoteRequest(VoteRequest m) {
    boolean free = s.vote.isEmpty() || s.vote.get().equals(m.from());
    boolean grant = free && leader == null && s.log.isUpToDate(m.lastIndex(), m.lastTerm());
    if (grant) {
      if (s.vote.isEmpty()) {
        s.setTerm(s.term, Optional.of(m.from()));
      }
      resetElectionTimer();
    }
    s.outbox.sendWhenAllDurable(new VoteResponse(s.self, m.from(), s.term, grant));
  }

  private void countVote(MemberIdentity from) {
    if (s.membership().isVoter(from) && granted.add(from) && s.membership().isQuorum(granted)) {
      role = Role.LEADER;
      leader = s.self;
      leading = new LeaderState(s);
      advanceCommit();
    }
  }

  private void campaign() {
    resetElectionTimer();
    if (!s.membership().isVoter(s.self)) {
      return;
    }
    // A preliminary vote changes nothing at other members and may be lost while they start.
    electionDeadlineNanos =
        s.nowNanos
            + s.settings.electionTimeoutNanos() / PROMISES_PER_TIMEOUT
            + random(PRE_VOTE_PART);
    if (!promisePreVote(s.self)) {
      return;
    }
    role = Role.PRE_CANDIDATE;
    leader = null;
    granted.clear();
    granted.add(s.self);
    if (s.membership().isQuorum(granted)) {
      startElection();
      return;
    }
    for (MemberIdentity to : otherVoters()) {
      s.outbox.sendWhenTermDurable(
          new PreVoteRequest(s.self, to, s.term + 1, s.log.lastIndex(), s.log.lastTerm()));
    }
  }

  /** The own vote counts once it is durable, and no request leaves before that. */
  private void startElection() {
    role = Role.CANDIDATE;
    electionCount++;
    granted.clear();
    resetElectionTimer();
    s.setTerm(s.term + 1, Optional.of(s.self));
    for (MemberIdentity to : otherVoters()) {
      s.outbox.sendWhenAllDurable(
          new VoteRequest(s.self, to, s.term, s.log.lastIndex(), s.log.lastTerm()));
    }
  }

  private List<MemberIdentity> otherVoters() {
    return s.membership().members().stream()
        .filter(m -> m.voter() && !m.identity().equals(s.self))
        .map(Member::identity)
        .toList();
  }

  private void followLeader(MemberIdentity from) {
    if (role == Role.LEADER) {
      throw new IllegalStateException(
          "two leaders in term " + s.term + ": " + s.self + ", " + from);
    }
    role = Role.FOLLOWER;
    leader = from;
    leaderContactNanos = s.nowNanos;
    resetElectionTimer();
  }

  private void becomeFollower(long newTerm, MemberIdentity newLeader) {
    if (leading != null) {
      s.persistOwn();
      readResults.addAll(leading.failReads());
      leading = null;
    }
    if (newTerm > s.term) {
      s.setTerm(newTerm, Optional.empty());
    }
    if (role != Role.FOLLOWER) {
      resetElectionTimer();
    }
    role = Role.FOLLOWER;
    leader = newLeader;
    granted.clear();
  }

  private void answerOldTerm(RaftMessage message) {
    if (message instanceof VoteRequest m) {
      s.outbox.sendWhenTermDurable(new VoteResponse(s.self, m.from(), s.term, false));
    } else if (message instanceof AppendRequest
        || message instanceof Heartbeat
        || message instanceof SnapshotRequest) {
      // A leader of an older term learns of the newer one and gives up.
      s.outbox.sendWhenTermDurable(
          new AppendResponse(s.self, message.from(), s.term, false, 0, 0, 0));
    }
  }

  private boolean hasRecentLeader() {
    return role == Role.LEADER
        || (leader != null && s.nowNanos - leaderContactNanos < s.settings.electionTimeoutNanos());
  }

  private void resetElectionTimer() {
    long least = s.settings.electionTimeoutNanos();
    electionDeadlineNanos = s.nowNanos + least + random(1);
  }

  /** Returns a random time of up to a part of the election timeout. */
  private long random(double part) {
    return (long) (random.nextDouble() * part * s.settings.electionTimeoutNanos());
  }
}
