package org.cornelspoke.daemon.consensus;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.cornelspoke.coordination.consensus.ReplicatedLog.ProposalListener;
import org.cornelspoke.coordination.consensus.ReplicatedLog.ReadListener;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.log.EntryKind;
import org.cornelspoke.state.log.LogEntry;
import org.junit.jupiter.api.Test;

class PendingRequestsTest {

  private static final VmId LEADER = new VmId("control-1");
  private static final byte[] RESULT = {1};

  private final PendingRequests pending = new PendingRequests();
  private final List<String> outcomes = new ArrayList<>();

  /** Guards against an outcome "not appended" for a command that is in the log. */
  @Test
  void appendedCommandIsCommittedOnlyInItsTerm() {
    pending.addAppended(1, 5, proposal(), 100);
    pending.addAppended(2, 5, proposal(), 100);
    pending.onApplied(entry(1, 5), RESULT);
    pending.onApplied(entry(2, 6), RESULT);
    assertThat(outcomes).containsExactly("committed 1", "not appended").inOrder();
  }

  /** Guards against "not appended" where the outcome of a command cannot be known. */
  @Test
  void uncertainOutcomesAreUnknown() {
    pending.addAppended(1, 5, proposal(), 100);
    pending.onRestored(3);
    pending.addForwarded(7, LEADER, proposal(), 100);
    pending.onDisconnected(LEADER);
    pending.addAppended(4, 5, proposal(), 100);
    pending.expire(100);
    pending.addAppended(5, 5, proposal(), 200);
    pending.failAll("stop");
    pending.addForwarded(8, LEADER, proposal(), 200);
    pending.onForwardedFailed(8, false, "timeout at the leader");
    assertThat(outcomes).containsExactly("unknown", "unknown", "unknown", "unknown", "unknown");
  }

  /** Guards against a second call of a listener after a late or duplicate reply. */
  @Test
  void lateRepliesAreDropped() {
    pending.addForwarded(7, LEADER, proposal(), 100);
    pending.onForwardedFailed(7, true, "does not lead");
    pending.onForwardedCommitted(7, 1, RESULT);
    pending.onForwardedFailed(7, false, "again");
    pending.addRead(9, LEADER, read(), 100);
    pending.expire(100);
    pending.onReadResult(9, true, 0);
    pending.failAll("stop");
    assertThat(outcomes).containsExactly("not appended", "unavailable").inOrder();
  }

  /** Guards against a result or read that is reported before this member has applied the index. */
  @Test
  void forwardedResultsWaitUntilTheIndexIsApplied() {
    pending.addForwarded(7, LEADER, proposal(), 100);
    pending.addRead(8, LEADER, read(), 100);
    pending.onForwardedCommitted(7, 2, RESULT);
    pending.onReadResult(8, true, 3);
    assertThat(outcomes).isEmpty();
    pending.onApplied(entry(2, 1), RESULT);
    assertThat(outcomes).containsExactly("committed 2");
    pending.onRestored(5);
    assertThat(outcomes).containsExactly("committed 2", "current 3").inOrder();
  }

  /** Guards against a listener that is never called because this member does not catch up. */
  @Test
  void resultsThatAreNeverAppliedHereExpire() {
    pending.addForwarded(7, LEADER, proposal(), 100);
    pending.addRead(8, LEADER, read(), 200);
    pending.onForwardedCommitted(7, 2, RESULT);
    pending.onReadResult(8, true, 3);
    pending.expire(100);
    assertThat(outcomes).containsExactly("unknown");
    pending.failAll("stop");
    assertThat(outcomes).containsExactly("unknown", "unavailable").inOrder();
  }

  /** Guards against a listener that adds a request while the pending requests are iterated. */
  @Test
  void listenersMayAddRequests() {
    for (int i = 1; i <= 3; i++) {
      long next = 10L + i;
      pending.addAppended(
          i, 1, new Recorder(() -> pending.addAppended(next, 1, proposal(), 500)), 100);
    }
    pending.expire(100);
    pending.expire(500);
    assertThat(outcomes).hasSize(6);
  }

  private static LogEntry entry(long index, long term) {
    return new LogEntry(index, term, EntryKind.COMMAND, new byte[0]);
  }

  private ProposalListener proposal() {
    return new Recorder(() -> {});
  }

  private ReadListener read() {
    return new ReadListener() {
      @Override
      public void onCurrent(long index) {
        outcomes.add("current " + index);
      }

      @Override
      public void onUnavailable(String cause) {
        outcomes.add("unavailable");
      }
    };
  }

  private final class Recorder implements ProposalListener {
    private final Runnable afterOutcome;

    Recorder(Runnable afterOutcome) {
      this.afterOutcome = afterOutcome;
    }

    @Override
    public void onCommitted(long index, byte[] result) {
      outcomes.add("committed " + index);
      afterOutcome.run();
    }

    @Override
    public void onNotAppended(String cause) {
      outcomes.add("not appended");
      afterOutcome.run();
    }

    @Override
    public void onUnknown(String cause) {
      outcomes.add("unknown");
      afterOutcome.run();
    }
  }
}
