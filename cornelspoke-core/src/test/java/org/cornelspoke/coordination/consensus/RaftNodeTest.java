package org.cornelspoke.coordination.consensus;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.Range;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.apache.commons.math3.random.Well19937c;
import org.cornelspoke.coordination.consensus.RaftMessage.AppendRequest;
import org.cornelspoke.coordination.consensus.RaftMessage.AppendResponse;
import org.cornelspoke.coordination.consensus.RaftMessage.Heartbeat;
import org.cornelspoke.coordination.consensus.RaftMessage.HeartbeatResponse;
import org.cornelspoke.coordination.consensus.RaftMessage.PreVoteResponse;
import org.cornelspoke.coordination.consensus.RaftMessage.SnapshotRequest;
import org.cornelspoke.coordination.consensus.RaftMessage.VoteRequest;
import org.cornelspoke.coordination.consensus.RaftMessage.VoteResponse;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.log.EntryKind;
import org.cornelspoke.state.log.HardState;
import org.cornelspoke.state.log.LogEntry;
import org.cornelspoke.state.log.MemberIdentity;
import org.cornelspoke.state.log.RecoveredLog;
import org.junit.jupiter.api.Test;

class RaftNodeTest {

  private static final MemberIdentity SELF = MemberIdentity.seeded(1);
  private static final MemberIdentity B = MemberIdentity.seeded(2);
  private static final MemberIdentity C = MemberIdentity.seeded(3);
  private static final MemberIdentity FORMER = MemberIdentity.seeded(4);
  private static final long LATER = 10L * RaftSettings.DEFAULT.electionTimeoutNanos();

  private long lastSequence;

  /** Guards against votes that are sent before they are durable. */
  @Test
  void voteIsDeferredUntilItIsSynced() {
    RaftNode node = member(SELF, B, C);
    node.receive(new VoteRequest(B, SELF, 2, 9, 1), 1);
    assertThat(node.takeMessages()).isEmpty();
    List<PersistRequest> requests = node.takePersistRequests();
    node.onPersisted(requests.get(0).sequence());
    assertThat(node.takeMessages()).isEmpty();
    node.onPersisted(requests.get(requests.size() - 1).sequence());
    assertThat(node.takeMessages()).containsExactly(new VoteResponse(SELF, B, 2, true));
  }

  /** Guards against acknowledgements of entries that are not durable. */
  @Test
  void acknowledgementIsDeferredUntilTheEntriesAreSynced() {
    RaftNode node = member(SELF, B, C);
    LogEntry entry = new LogEntry(2, 1, EntryKind.COMMAND, new byte[] {1});
    node.receive(new AppendRequest(B, SELF, 1, 1, 1, List.of(entry), 0), 1);
    assertThat(node.takeMessages()).isEmpty();
    persistAll(node);
    assertThat(node.takeMessages()).containsExactly(new AppendResponse(SELF, B, 1, true, 2, 0, 0));
  }

  /** Guards against a slow disk that makes a healthy follower appear to be down. */
  @Test
  void heartbeatIsAnsweredWhileEntriesAreNotSynced() {
    RaftNode node = member(SELF, B, C);
    LogEntry entry = new LogEntry(2, 1, EntryKind.COMMAND, new byte[] {1});
    node.receive(new AppendRequest(B, SELF, 1, 1, 1, List.of(entry), 0), 1);
    node.receive(new Heartbeat(B, SELF, 1, 0, 7), 2);
    assertThat(node.takeMessages()).containsExactly(new HeartbeatResponse(SELF, B, 1, 7));
  }

  /** Guards against pre-votes and votes of an unknown or former identity that are counted. */
  @Test
  void votesOfUnknownIdentitiesDoNotCount() {
    RaftNode node = member(SELF, B, C);
    node.tick(LATER);
    node.takeMessages();
    node.receive(new PreVoteResponse(FORMER, SELF, 2, true), LATER);
    assertThat(node.role()).isEqualTo(RaftNode.Role.PRE_CANDIDATE);
    node.receive(new PreVoteResponse(B, SELF, 2, true), LATER);
    persistAll(node);
    node.receive(new VoteResponse(FORMER, SELF, 2, true), LATER);
    assertThat(node.role()).isEqualTo(RaftNode.Role.CANDIDATE);
    node.receive(new VoteResponse(C, SELF, 2, true), LATER);
    assertThat(node.role()).isEqualTo(RaftNode.Role.LEADER);
  }

  /** Guards against a leader that counts its own vote before it is durable. */
  @Test
  void ownVoteCountsOnlyWhenSynced() {
    RaftNode node = member(SELF);
    node.tick(LATER);
    assertThat(node.role()).isEqualTo(RaftNode.Role.CANDIDATE);
    persistAll(node);
    assertThat(node.role()).isEqualTo(RaftNode.Role.LEADER);
  }

  /** Guards against acknowledgements of a former identity, or of a learner, that commit entries. */
  @Test
  void acknowledgementsOfNonVotersCommitNothing() throws Exception {
    RaftNode node = leader();
    long index = node.lastIndex();
    node.receive(new AppendResponse(FORMER, SELF, 2, true, index, 0, 0), LATER);
    assertThat(node.commitIndex()).isEqualTo(0);
    node.receive(new AppendResponse(B, SELF, 2, true, index, 0, 0), LATER);
    assertThat(node.commitIndex()).isEqualTo(index);
    Member learner = new Member(new VmId("d"), FORMER, address(), false);
    node.changeMembership(new MembershipChange.AddLearner(learner));
    persistAll(node);
    node.receive(new AppendResponse(FORMER, SELF, 2, true, index + 1, 0, 0), LATER);
    assertThat(node.commitIndex()).isEqualTo(index);
  }

  /** Guards against a wiped VM that replies under its former identity. */
  @Test
  void messagesForAnotherIdentityAreDropped() {
    RaftNode node = member(SELF, B, C);
    node.receive(new VoteRequest(B, FORMER, 5, 9, 1), 1);
    assertThat(node.term()).isEqualTo(1);
    persistAll(node);
    assertThat(node.takeMessages()).isEmpty();
  }

  /** Guards against a read index confirmed by replies to an earlier heartbeat round. */
  @Test
  void readIndexNeedsALaterHeartbeatRound() {
    RaftNode node = leader();
    node.receive(new AppendResponse(B, SELF, 2, true, node.lastIndex(), 0, 0), LATER);
    long earlierRound = round(node.takeMessages());
    node.readIndex(1);
    long newRound = round(node.takeMessages());
    assertThat(newRound).isGreaterThan(earlierRound);
    node.receive(new HeartbeatResponse(B, SELF, 2, earlierRound), LATER);
    node.takeMessages();
    assertThat(node.takeReadResults()).isEmpty();
    node.receive(new HeartbeatResponse(B, SELF, 2, newRound), LATER);
    node.takeMessages();
    assertThat(node.takeReadResults()).containsExactly(new ReadResult(1, true, 2));
  }

  /** Guards against a commit of an earlier term's entry by replica count, and early reads. */
  @Test
  void newLeaderConfirmsNoReadBeforeItsFirstCommit() {
    RaftNode node = leader();
    node.readIndex(1);
    node.receive(new HeartbeatResponse(B, SELF, 2, round(node.takeMessages())), LATER);
    node.receive(new AppendResponse(B, SELF, 2, true, 1, 0, 0), LATER);
    node.takeMessages();
    assertThat(node.commitIndex()).isEqualTo(0);
    assertThat(node.takeReadResults()).isEmpty();
  }

  /** Guards against a member that votes, acknowledges or leads after its disk has failed. */
  @Test
  void failedStorageStopsVotesAndAcknowledgements() {
    RaftNode node = leader();
    node.readIndex(1);
    node.takeMessages();
    node.takePersistRequests();
    node.onStorageUnavailable();
    assertThat(node.role()).isEqualTo(RaftNode.Role.FOLLOWER);
    assertThat(node.leader()).isEmpty();
    assertThat(node.propose(new byte[1]).isPresent()).isFalse();
    assertThat(node.takeReadResults()).containsExactly(new ReadResult(1, false, 0));
    node.receive(new VoteRequest(B, SELF, 9, 9, 9), LATER);
    node.tick(2 * LATER);
    assertThat(node.takeMessages()).isEmpty();
    assertThat(node.takePersistRequests()).isEmpty();
  }

  /** Guards against a vote or acknowledgement that a failed disk has deferred and that is sent. */
  @Test
  void nothingDeferredIsSentUntilTheRepeatedWriteIsDurable() {
    RaftNode node = member(SELF, B, C);
    LogEntry entry = new LogEntry(2, 2, EntryKind.NO_OP, new byte[0]);
    node.receive(new AppendRequest(B, SELF, 2, 1, 1, List.of(entry), 0), 1);
    List<PersistRequest> requests = node.takePersistRequests();
    node.takeMessages();
    node.onStorageUnavailable();
    node.tick(LATER);
    assertThat(node.takeMessages()).isEmpty();
    assertThat(node.takePersistRequests()).isEmpty();
    node.onPersisted(requests.get(requests.size() - 1).sequence());
    assertThat(node.takeMessages()).contains(new AppendResponse(SELF, B, 2, true, 2, 0, 0));
  }

  /** Guards against a receipt of entries that are not durable and yet commit or confirm a read. */
  @Test
  void receiptsCommitAndConfirmNothing() {
    RaftNode node = leader();
    long index = node.lastIndex();
    node.readIndex(1);
    node.takeMessages();
    node.receive(AppendResponse.receipt(B, SELF, 2, index), LATER);
    node.receive(AppendResponse.receipt(C, SELF, 2, index), LATER);
    node.receive(AppendResponse.receipt(C, SELF, 2, 0), LATER);
    node.takeMessages();
    assertThat(node.commitIndex()).isEqualTo(0);
    assertThat(node.matchIndex(B)).isEqualTo(0);
    assertThat(node.takeReadResults()).isEmpty();
    node.tick(LATER + 2 * RaftSettings.DEFAULT.electionTimeoutNanos());
    assertThat(node.role()).isEqualTo(RaftNode.Role.FOLLOWER);
  }

  /** Guards against a member that learns nothing of a new leader while its disk refuses writes. */
  @Test
  void memberWithFailedStorageConfirmsReceiptsOfANewLeader() {
    RaftNode node = member(SELF, B, C);
    node.onStorageUnavailable();
    LogEntry entry = new LogEntry(2, 2, EntryKind.NO_OP, new byte[0]);
    node.receive(new AppendRequest(B, SELF, 2, 1, 1, List.of(entry), 2), 1);
    node.receive(new Heartbeat(B, SELF, 2, 0, 7), 2);
    assertThat(node.commitIndex()).isEqualTo(2);
    assertThat(node.takeMessages())
        .containsExactly(
            AppendResponse.receipt(SELF, B, 2, 2), AppendResponse.receipt(SELF, B, 2, 0));
  }

  /** Guards against commands that do not fit into a frame. */
  @Test
  void oversizedCommandIsRefused() {
    RaftNode node = leader();
    byte[] large = new byte[RaftSettings.MAX_COMMAND_BYTES + 1];
    assertThrows(IllegalArgumentException.class, () -> node.propose(large));
  }

  /**
   * Guards against a leader that buffers dozens of large entries for each member that does not
   * reply, until its heap is full.
   */
  @Test
  void inFlightEntriesAreLimitedBySize() {
    RaftNode node = leader();
    node.receive(new AppendResponse(B, SELF, 2, true, 2, 0, 0), LATER);
    for (int i = 0; i < 30; i++) {
      assertThat(node.propose(new byte[500_000])).isNotEqualTo(OptionalLong.empty());
    }
    long bytes =
        node.takeMessages().stream()
            .filter(message -> message instanceof AppendRequest && message.to().equals(B))
            .flatMap(message -> ((AppendRequest) message).entries().stream())
            .mapToLong(entry -> entry.data().length)
            .sum();

    assertThat(bytes).isGreaterThan(0);
    assertThat(bytes).isAtMost(5L << 20);
  }

  /**
   * Guards against a log that keeps large entries in memory after a snapshot because their number
   * is small.
   */
  @Test
  void entriesKeptAfterASnapshotAreLimitedBySize() {
    RaftNode node = leader();
    for (int i = 0; i < 30; i++) {
      node.propose(new byte[500_000]);
    }
    persistAll(node);
    long last = node.lastIndex();
    node.receive(new AppendResponse(B, SELF, 2, true, last, 0, 0), LATER);
    while (node.hasCommitted()) {
      node.takeCommitted();
    }
    node.onSnapshotTaken(last, new byte[100]);
    persistAll(node);
    node.takeMessages();
    node.receive(new AppendResponse(C, SELF, 2, false, 2, 2, 0), LATER);

    assertThat(
            node.takeMessages().stream()
                .filter(message -> message.to().equals(C))
                .map(Object::getClass))
        .contains(SnapshotRequest.class);
  }

  /** Guards against applying a long log at once, during which heartbeats are not answered. */
  @Test
  void committedEntriesAreDeliveredInPortions() {
    RaftNode node = leader();
    for (int i = 0; i < 30; i++) {
      node.propose(new byte[500_000]);
    }
    persistAll(node);
    node.receive(new AppendResponse(B, SELF, 2, true, node.lastIndex(), 0, 0), LATER);
    int delivered = 0;
    while (node.hasCommitted()) {
      int count = node.takeCommitted().size();
      assertThat(count).isIn(Range.closed(1, 12));
      delivered += count;
    }

    // The first membership and the no-op of the leader's term precede the commands.
    assertThat(delivered).isEqualTo(32);
  }

  /** Guards against a log that grows without bound in memory while the leader's disk stalls. */
  @Test
  void leaderWhoseDiskStallsRefusesFurtherProposals() {
    RaftNode node = leader();
    int accepted = 0;
    while (accepted < 1_000 && node.propose(new byte[500_000]).isPresent()) {
      accepted++;
    }
    assertThat(accepted).isLessThan(40);
    persistAll(node);
    assertThat(node.propose(new byte[1]).isPresent()).isTrue();
  }

  private RaftNode leader() {
    RaftNode node = member(SELF, B, C);
    node.tick(LATER);
    node.receive(new PreVoteResponse(B, SELF, 2, true), LATER);
    persistAll(node);
    node.receive(new VoteResponse(B, SELF, 2, true), LATER);
    persistAll(node);
    node.takeMessages();
    assertThat(node.role()).isEqualTo(RaftNode.Role.LEADER);
    return node;
  }

  private void persistAll(RaftNode node) {
    for (PersistRequest request : node.takePersistRequests()) {
      lastSequence = request.sequence();
    }
    node.onPersisted(lastSequence);
  }

  private static long round(List<RaftMessage> messages) {
    return messages.stream()
        .filter(Heartbeat.class::isInstance)
        .mapToLong(m -> ((Heartbeat) m).round())
        .max()
        .orElse(0);
  }

  private static RaftNode member(MemberIdentity... voters) {
    List<Member> members = new ArrayList<>();
    for (MemberIdentity voter : voters) {
      members.add(new Member(new VmId("vm-" + voter), voter, address(), true));
    }
    LogEntry first = new LogEntry(1, 1, EntryKind.MEMBERSHIP, new Membership(members).encode());
    RecoveredLog recovered =
        new RecoveredLog(
            SELF, new HardState(1, Optional.empty()), Optional.empty(), List.of(first));
    return new RaftNode(RaftSettings.DEFAULT, recovered, new Well19937c(1), 0);
  }

  private static Endpoint address() {
    return new Endpoint("127.0.0.1", 1);
  }
}
