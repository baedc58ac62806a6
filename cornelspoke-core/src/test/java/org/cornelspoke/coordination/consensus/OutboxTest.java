package org.cornelspoke.coordination.consensus;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.cornelspoke.coordination.consensus.RaftMessage.AppendResponse;
import org.cornelspoke.coordination.consensus.RaftMessage.HeartbeatResponse;
import org.cornelspoke.coordination.consensus.RaftMessage.VoteResponse;
import org.cornelspoke.state.log.EntryKind;
import org.cornelspoke.state.log.HardState;
import org.cornelspoke.state.log.LogEntry;
import org.cornelspoke.state.log.MemberIdentity;
import org.junit.jupiter.api.Test;

class OutboxTest {

  private static final MemberIdentity SELF = MemberIdentity.seeded(1);
  private static final MemberIdentity B = MemberIdentity.seeded(2);
  private static final MemberIdentity C = MemberIdentity.seeded(3);

  private final Outbox outbox = new Outbox(0);

  /** Guards against replies that fill the memory while the disk refuses writes for hours. */
  @Test
  void repliesDeferredForHoursAreBounded() {
    long rounds = 0;
    for (long term = 2; term < 40; term++) {
      outbox.persistHardState(new HardState(term, Optional.empty()));
      for (int i = 0; i < 50; i++) {
        MemberIdentity leader = term % 2 == 0 ? B : C;
        outbox.sendWhenTermDurable(new HeartbeatResponse(SELF, leader, term, ++rounds));
        outbox.sendWhenAllDurable(accepted(leader, term, 1));
      }
    }
    assertThat(outbox.deferredCount()).isAtMost(4);
    outbox.onPersisted(38);
    assertThat(outbox.takeMessages())
        .containsAtLeast(new HeartbeatResponse(SELF, C, 39, rounds), accepted(C, 39, 1));
  }

  /** Guards against an acknowledgement that a steady flow of later entries keeps back for ever. */
  @Test
  void acknowledgementIsNotDelayedByLaterEntries() {
    outbox.persistEntries(List.of(entry(1)));
    outbox.sendWhenAllDurable(accepted(B, 1, 1));
    outbox.persistEntries(List.of(entry(2)));
    outbox.sendWhenAllDurable(accepted(B, 1, 2));
    outbox.onPersisted(1);
    assertThat(outbox.takeMessages()).containsExactly(accepted(B, 1, 1));
    outbox.onPersisted(2);
    assertThat(outbox.takeMessages()).containsExactly(accepted(B, 1, 2));
  }

  /** Guards against a late request whose lower acknowledgement replaces the higher one. */
  @Test
  void lowerAcknowledgementDoesNotReplaceTheHigherOne() {
    outbox.persistEntries(List.of(entry(1), entry(2)));
    outbox.sendWhenAllDurable(accepted(B, 1, 2));
    outbox.sendWhenAllDurable(accepted(B, 1, 1));
    outbox.onPersisted(1);
    assertThat(outbox.takeMessages()).containsExactly(accepted(B, 1, 2));
  }

  /** Guards against a vote that a refusal in the same term replaces. */
  @Test
  void refusalDoesNotReplaceTheVote() {
    outbox.persistHardState(new HardState(2, Optional.of(B)));
    outbox.sendWhenAllDurable(new VoteResponse(SELF, B, 2, true));
    outbox.sendWhenAllDurable(new VoteResponse(SELF, B, 2, false));
    outbox.onPersisted(1);
    assertThat(outbox.takeMessages()).contains(new VoteResponse(SELF, B, 2, true));
  }

  private static AppendResponse accepted(MemberIdentity to, long term, long index) {
    return new AppendResponse(SELF, to, term, true, index, 0, 0);
  }

  private static LogEntry entry(long index) {
    return new LogEntry(index, 1, EntryKind.COMMAND, new byte[1]);
  }
}
