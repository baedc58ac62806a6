package org.cornelspoke.coordination.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.apache.commons.math3.random.RandomGenerator;
import org.cornelspoke.coordination.consensus.RaftMessage.AppendRequest;
import org.cornelspoke.coordination.consensus.RaftMessage.AppendResponse;
import org.cornelspoke.coordination.consensus.RaftMessage.Heartbeat;
import org.cornelspoke.coordination.consensus.RaftMessage.HeartbeatResponse;
import org.cornelspoke.coordination.consensus.RaftMessage.IdentityLost;
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
 * <p>The caller passes in messages, ticks, proposals and sync completions, and after each input
 * takes the outgoing messages, persist requests, committed entries and read results. Persist
 * requests must be carried out in order. Messages that depend on a term, vote or entry are deferred
 * until {@link #onPersisted} reports it as durable, so the caller may send all taken messages at
 * once.
 *
 * <p>Not thread-safe.
 */
public final class RaftNode {

  /** Role in the current term. */
  public enum Role {
    /** Follows a leader or waits for one. */
    FOLLOWER,
    /** Collects pre-votes to find out whether an election could succeed. */
    PRE_CANDIDATE,
    /** Collects votes. */
    CANDIDATE,
    /** Replicates and commits entries. */
    LEADER
  }

  private final RaftState state;
  private final FollowerState followerState;
  private final ElectionTimer electionTimer;

  /** A pre-vote grant lasts for several round trips and syncs, also of newly started processes. */
  private static final int PRE_VOTE_GRANTS_PER_ELECTION_TIMEOUT = 4;

  private final VoteCount votes;
  private final List<ReadResult> readResults = new ArrayList<>();
  private Role role = Role.FOLLOWER;
  private LeaderState leaderState;
  private MemberIdentity leader;
  private long leaderContactAtNanos;
  private MemberIdentity preVoteGrantee;
  private long preVoteGrantEndNanos;
  private long electionCount;
  private long deliveredIndex;
  private Snapshot pendingRestore;
  private long snapshotSequence;

  /**
   * Creates a member from the contents of its data folder. {@link #takeRestore} returns the
   * recovered snapshot, if any.
   *
   * @param random source of the election timeouts
   */
  public RaftNode(
      RaftSettings settings, RecoveredLog recovered, RandomGenerator random, long nowNanos) {
    this.state = new RaftState(settings, recovered, nowNanos);
    this.followerState = new FollowerState(state);
    this.electionTimer = new ElectionTimer(state, random);
    this.votes = new VoteCount(state);
    this.pendingRestore = state.snapshot;
    this.deliveredIndex = state.commitIndex;
    preVoteGrantEndNanos = nowNanos;
    if (!isBlank()) {
      // Members in contact with a leader reject pre-votes, so a restarted one may request them
      // early.
      electionTimer.restartForPreVote(0);
    }
    if (state.membership().voterCount() == 1) {
      // No other member can become leader, so a wait would only delay the restart.
      electionTimer.expire();
    }
  }

  /**
   * Forms the group. Must be called on exactly one VM, while the folders of all members are empty.
   *
   * @throws IllegalArgumentException if this member has a log or is not among the voters
   */
  public void bootstrap(Membership membership) {
    Assert.isTrue(isBlank(), "a member with a log must not bootstrap a group");
    Assert.isTrue(membership.isVoter(state.self), "the bootstrapping member must be a voter");
    if (state.term == 0) {
      state.setTerm(1, Optional.empty());
    }
    state.append(EntryKind.MEMBERSHIP, membership.encode());
    state.persistAppended();
    electionTimer.expire();
  }

  /** Returns true if the member has neither a log nor a snapshot. */
  public boolean isBlank() {
    return state.log.lastIndex() == 0;
  }

  /** Advances the clock. */
  public void tick(long nowNanos) {
    state.nowNanos = nowNanos;
    state.persistAppended();
    if (role == Role.LEADER) {
      if (!leaderState.tick()) {
        becomeFollower(state.term, null);
      } else if (leaderState.isSettlementDue()) {
        appendMembership(state.membership().settled());
      }
    } else if (!state.storageFailed && !state.isDiskBehind() && electionTimer.isDue()) {
      startPreVote();
    }
  }

  /**
   * Handles a message. Messages for another identity are dropped, which the VM must have had
   * before; a candidate is told so.
   */
  public void receive(RaftMessage message, long nowNanos) {
    state.nowNanos = nowNanos;
    if (!message.to().equals(state.self)) {
      if (message instanceof PreVoteRequest m) {
        state.outbox.send(new IdentityLost(state.self, m.from(), m.term(), m.to()));
      }
      return;
    }
    if (state.storageFailed && isElectionMessage(message)) {
      return;
    }
    state.persistAppended();
    if (message instanceof PreVoteRequest m) {
      onPreVoteRequest(m);
      return;
    }
    if (message instanceof PreVoteResponse m && m.granted()) {
      onPreVoteGranted(m);
      return;
    }
    if (message instanceof IdentityLost m) {
      onIdentityLost(m);
      return;
    }
    if (message instanceof VoteRequest && message.term() > state.term && hasRecentLeader()) {
      return;
    }
    if (message.term() > state.term) {
      becomeFollower(message.term(), null);
    }
    if (message.term() < state.term) {
      replyToStaleTerm(message);
      return;
    }
    dispatch(message);
  }

  /** Reports that all persist requests up to the sequence number are durable. */
  public void onPersisted(long sequence) {
    state.persistAppended();
    state.outbox.onPersisted(sequence);
    if (role == Role.CANDIDATE && state.outbox.isHardStateDurable()) {
      countVote(state.self);
    }
    if (snapshotSequence > 0 && sequence >= snapshotSequence) {
      snapshotSequence = 0;
      state.log.compact(state.snapshot.index(), state.settings);
    }
    advanceCommit();
  }

  /**
   * Reports that a write or sync failed and will be repeated. Until {@link #onStorageAvailable} the
   * member follows the leader without leading or voting; it acknowledges nothing that is not
   * durable.
   */
  public void onStorageUnavailable() {
    state.storageFailed = true;
    becomeFollower(state.term, role == Role.LEADER ? null : leader);
  }

  /** Reports that the requests that failed have been carried out. */
  public void onStorageAvailable() {
    electionTimer.onDiskRecovered();
    state.storageFailed = false;
  }

  /**
   * Appends a command if this member leads and its disk keeps up.
   *
   * @return the index, or empty if this member does not lead or has {@link
   *     RaftSettings#maxUnsyncedBytes} that are not synced
   * @throws IllegalArgumentException if the command is larger than {@link
   *     RaftSettings#MAX_COMMAND_BYTES}
   */
  public OptionalLong propose(byte[] command) {
    Assert.isTrue(
        command.length <= RaftSettings.MAX_COMMAND_BYTES,
        "command must be at most " + RaftSettings.MAX_COMMAND_BYTES + " bytes");
    if (role != Role.LEADER || state.isDiskBehind()) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(state.append(EntryKind.COMMAND, command).index());
  }

  /** Requests a read index; {@link #takeReadResults} returns the result. */
  public void readIndex(long requestId) {
    if (role == Role.LEADER) {
      leaderState.readIndex(requestId);
    } else {
      readResults.add(new ReadResult(requestId, false, 0));
    }
  }

  /**
   * Appends a changed membership, if this member leads.
   *
   * @return the index of the entry
   * @throws MembershipRefusedException if the change is not allowed now; nothing was appended
   */
  public long changeMembership(MembershipChange change) throws MembershipRefusedException {
    if (role != Role.LEADER) {
      throw new MembershipRefusedException("this member does not lead");
    }
    if (!leaderState.canChangeMembership()) {
      throw new MembershipRefusedException("another membership change is not committed yet");
    }
    Membership changed =
        change.applyTo(state.membership(), leaderState::matchIndex, state.commitIndex);
    return appendMembership(changed);
  }

  private long appendMembership(Membership membership) {
    long index = state.append(EntryKind.MEMBERSHIP, membership.encode()).index();
    leaderState.updateMembers();
    return index;
  }

  /** Reports that a connection was lost, so that in-flight requests are sent again. */
  public void onUnreachable(MemberIdentity identity) {
    if (role == Role.LEADER) {
      leaderState.onUnreachable(identity);
    }
  }

  /**
   * Stores the state of the state machine as a snapshot and compacts the log once it is durable.
   *
   * @param index the last applied index
   */
  public void onSnapshotTaken(long index, byte[] data) {
    Assert.isTrue(index <= deliveredIndex, "index must not be after the last applied entry");
    boolean newer = index > 0 && (state.snapshot == null || index > state.snapshot.index());
    if (!newer || state.storageFailed) {
      return;
    }
    state.persistAppended();
    state.snapshot =
        new Snapshot(index, state.log.termAt(index), state.memberships.at(index).encode(), data);
    state.memberships.compactUpTo(index);
    // Storing the snapshot deletes the files that hold the data of these entries.
    state.log.removeUpTo(Math.min(index, state.log.lastIndexOnDisk()));
    snapshotSequence = state.outbox.persistSnapshot(state.snapshot, false);
  }

  /** Returns true while the snapshot of the last {@link #onSnapshotTaken} is not durable. */
  public boolean isSnapshotPending() {
    return snapshotSequence > 0;
  }

  /** Returns the messages to send now. */
  public List<RaftMessage> takeMessages() {
    if (role == Role.LEADER) {
      leaderState.flush();
      readResults.addAll(leaderState.takeConfirmedReads());
    }
    return state.outbox.takeMessages();
  }

  /** Returns the data to make durable, in order. */
  public List<PersistRequest> takePersistRequests() {
    state.persistAppended();
    return state.outbox.takePersistRequests();
  }

  /** Returns a snapshot to restore before the entries of {@link #takeCommitted} are applied. */
  public Optional<Snapshot> takeRestore() {
    Optional<Snapshot> taken = Optional.ofNullable(pendingRestore);
    pendingRestore = null;
    return taken;
  }

  /**
   * Returns the entries that were committed since the last call, in order, up to about {@link
   * RaftSettings#maxApplyBytes}. Further calls return the rest.
   */
  public List<LogEntry> takeCommitted() {
    long from = deliveredIndex;
    List<LogEntry> entries = new ArrayList<>();
    while (deliveredIndex < state.commitIndex
        && state.log.bytesBetween(from, deliveredIndex) < state.settings.maxApplyBytes()) {
      entries.add(state.log.entry(++deliveredIndex));
    }
    return entries;
  }

  /** Returns true if {@link #takeCommitted} has further entries to return. */
  public boolean hasCommitted() {
    return deliveredIndex < state.commitIndex;
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
    return state.term;
  }

  /** Returns the highest index known to be committed. */
  public long commitIndex() {
    return state.commitIndex;
  }

  /** Returns the index of the last entry in the log. */
  public long lastIndex() {
    return state.log.lastIndex();
  }

  /** Returns the identity stored in the data folder. */
  public MemberIdentity identity() {
    return state.self;
  }

  /** Returns the membership in force. */
  public Membership membership() {
    return state.membership();
  }

  /** Returns the membership of the last committed entry that changed it. */
  public Membership committedMembership() {
    return state.memberships.at(state.commitIndex);
  }

  /** Returns the last known durable index of a member if this member leads, otherwise 0. */
  public long matchIndex(MemberIdentity identity) {
    return role == Role.LEADER ? leaderState.matchIndex(identity) : 0;
  }

  /** Returns how many elections this member has started. */
  public long electionCount() {
    return electionCount;
  }

  /** Returns true from {@link #onStorageUnavailable} until {@link #onStorageAvailable}. */
  public boolean isStorageFailed() {
    return state.storageFailed;
  }

  private static boolean isElectionMessage(RaftMessage message) {
    return message instanceof PreVoteRequest
        || message instanceof PreVoteResponse
        || message instanceof IdentityLost
        || message instanceof VoteRequest
        || message instanceof VoteResponse;
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
      followerState.onAppend(m);
    } else if (message instanceof Heartbeat m) {
      followLeader(m.from());
      followerState.onHeartbeat(m);
    } else if (message instanceof SnapshotRequest m) {
      followLeader(m.from());
      Snapshot installed = followerState.onSnapshot(m);
      if (installed != null) {
        pendingRestore = installed;
        deliveredIndex = installed.index();
        snapshotSequence = 0;
      }
    } else if (role == Role.LEADER) {
      dispatchToLeader(message);
    }
  }

  private void dispatchToLeader(RaftMessage message) {
    if (message instanceof AppendResponse m) {
      leaderState.onAppendResponse(m);
      advanceCommit();
    } else if (message instanceof HeartbeatResponse m) {
      leaderState.onHeartbeatResponse(m);
    } else if (message instanceof SnapshotResponse m) {
      leaderState.onSnapshotResponse(m);
    }
  }

  private void advanceCommit() {
    if (role == Role.LEADER && leaderState.advanceCommit()) {
      boolean membershipCommitted = state.memberships.currentIndex() <= state.commitIndex;
      if (membershipCommitted && !state.membership().isVoter(state.self)) {
        leaderState.flush();
        becomeFollower(state.term, null);
      }
    }
  }

  private void onPreVoteRequest(PreVoteRequest request) {
    boolean granted =
        request.term() > state.term
            && !hasRecentLeader()
            && state.log.isUpToDate(request.lastIndex(), request.lastTerm())
            && tryGrantPreVote(request.from());
    state.outbox.sendWhenTermDurable(
        new PreVoteResponse(
            state.self, request.from(), granted ? request.term() : state.term, granted));
  }

  /**
   * Reserves this member's pre-vote for one candidate for a limited time, so that members that
   * start together do not compete for the votes of one term.
   */
  private boolean tryGrantPreVote(MemberIdentity candidate) {
    if (state.nowNanos - preVoteGrantEndNanos < 0 && !candidate.equals(preVoteGrantee)) {
      return false;
    }
    preVoteGrantee = candidate;
    preVoteGrantEndNanos =
        state.nowNanos
            + state.settings.electionTimeoutNanos() / PRE_VOTE_GRANTS_PER_ELECTION_TIMEOUT;
    return true;
  }

  private void onPreVoteGranted(PreVoteResponse response) {
    if (role == Role.PRE_CANDIDATE
        && response.term() == state.term + 1
        && votes.completesPreVote(response.from())) {
      startElection();
    }
  }

  private void onIdentityLost(IdentityLost message) {
    if (votes.completesPreVoteWithout(message.lost()) && role == Role.PRE_CANDIDATE) {
      startElection();
    }
  }

  private void onVoteRequest(VoteRequest request) {
    boolean canVote = state.votedFor.isEmpty() || state.votedFor.get().equals(request.from());
    boolean granted =
        canVote && leader == null && state.log.isUpToDate(request.lastIndex(), request.lastTerm());
    if (granted) {
      if (state.votedFor.isEmpty()) {
        state.setTerm(state.term, Optional.of(request.from()));
      }
      electionTimer.reset();
    }
    state.outbox.sendWhenAllDurable(
        new VoteResponse(state.self, request.from(), state.term, granted));
  }

  private void countVote(MemberIdentity from) {
    if (votes.completesElection(from)) {
      role = Role.LEADER;
      leader = state.self;
      leaderState = new LeaderState(state, votes.lostBeforeElection());
      advanceCommit();
    }
  }

  private void startPreVote() {
    electionTimer.reset();
    if (!state.membership().isVoter(state.self)) {
      return;
    }
    // A pre-vote changes no term or vote and may be lost while other members start: retry soon.
    electionTimer.restartForPreVote(
        state.settings.electionTimeoutNanos() / PRE_VOTE_GRANTS_PER_ELECTION_TIMEOUT);
    if (!tryGrantPreVote(state.self)) {
      return;
    }
    role = Role.PRE_CANDIDATE;
    leader = null;
    votes.clear();
    if (votes.completesPreVote(state.self)) {
      startElection();
      return;
    }
    for (MemberIdentity to : otherVoters()) {
      state.outbox.sendWhenTermDurable(
          new PreVoteRequest(
              state.self, to, state.term + 1, state.log.lastIndex(), state.log.lastTerm()));
    }
  }

  /** Starts an election. Its vote for itself counts, and requests are sent, once it is durable. */
  private void startElection() {
    role = Role.CANDIDATE;
    electionCount++;
    votes.startElection();
    electionTimer.reset();
    state.setTerm(state.term + 1, Optional.of(state.self));
    for (MemberIdentity to : otherVoters()) {
      state.outbox.sendWhenAllDurable(
          new VoteRequest(state.self, to, state.term, state.log.lastIndex(), state.log.lastTerm()));
    }
  }

  private List<MemberIdentity> otherVoters() {
    return state.membership().members().stream()
        .filter(member -> member.voter() && !member.identity().equals(state.self))
        .map(Member::identity)
        .toList();
  }

  private void followLeader(MemberIdentity from) {
    if (role == Role.LEADER) {
      throw new IllegalStateException(
          "two leaders in term " + state.term + ": " + state.self + ", " + from);
    }
    role = Role.FOLLOWER;
    leader = from;
    leaderContactAtNanos = state.nowNanos;
    electionTimer.reset();
  }

  private void becomeFollower(long newTerm, MemberIdentity newLeader) {
    if (leaderState != null) {
      state.persistAppended();
      readResults.addAll(leaderState.failReads());
      leaderState = null;
    }
    if (newTerm > state.term) {
      state.setTerm(newTerm, Optional.empty());
    }
    if (role != Role.FOLLOWER) {
      electionTimer.reset();
    }
    role = Role.FOLLOWER;
    leader = newLeader;
    votes.clear();
  }

  private void replyToStaleTerm(RaftMessage message) {
    if (message instanceof VoteRequest m) {
      state.outbox.sendWhenTermDurable(new VoteResponse(state.self, m.from(), state.term, false));
    } else if (message instanceof AppendRequest
        || message instanceof Heartbeat
        || message instanceof SnapshotRequest) {
      // The reply tells a leader of an older term the newer one, so that it steps down.
      state.outbox.sendWhenTermDurable(
          new AppendResponse(state.self, message.from(), state.term, false, 0, 0, 0));
    }
  }

  private boolean hasRecentLeader() {
    return role == Role.LEADER
        || (leader != null
            && state.nowNanos - leaderContactAtNanos < state.settings.electionTimeoutNanos());
  }
}
