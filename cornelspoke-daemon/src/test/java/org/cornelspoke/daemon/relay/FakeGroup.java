package org.cornelspoke.daemon.relay;

import io.activej.reactor.Reactor;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cornelspoke.coordination.consensus.ReplicatedLog;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.machine.ControlStateMachine;

/**
 * Log members in one event loop without network. The first member leads. A member that is cut off
 * applies nothing, and its proposals and reads fail. Calls take effect in the order in which they
 * were made; {@code post} would run the latest one first and so hide races.
 */
final class FakeGroup {

  final List<Member> members = new ArrayList<>();
  private final Reactor reactor;
  private final List<byte[]> log = new ArrayList<>();
  private int lostAnswers;
  private long term = 1;

  FakeGroup(Reactor reactor, int size) {
    this.reactor = reactor;
    for (int i = 1; i <= size; i++) {
      members.add(new Member(new VmId("control-" + i)));
    }
  }

  /** The next proposals are committed, but their proposers learn only that it may be so. */
  void loseAnswers(int count) {
    lostAnswers = count;
  }

  int logSize() {
    return log.size();
  }

  final class Member implements ReplicatedLog {

    final VmId vm;
    final ControlStateMachine machine = new ControlStateMachine();
    boolean cutOff;
    private int applied;
    private byte[] lastResult;

    Member(VmId vm) {
      this.vm = vm;
    }

    @Override
    public void propose(byte[] command, ProposalListener listener) {
      reactor.postLast(
          () -> {
            if (cutOff) {
              listener.onNotAppended("no leader");
              return;
            }
            log.add(command);
            members.forEach(Member::catchUp);
            if (lostAnswers > 0) {
              lostAnswers--;
              listener.onUnknown("answer lost");
            } else {
              listener.onCommitted(applied, lastResult);
            }
          });
    }

    @Override
    public void readIndex(ReadListener listener) {
      reactor.postLast(
          () -> {
            if (cutOff) {
              listener.onUnavailable("no quorum");
            } else {
              catchUp();
              listener.onCurrent(applied);
            }
          });
    }

    @Override
    public Optional<VmId> leader() {
      return cutOff ? Optional.empty() : Optional.of(members.get(0).vm);
    }

    @Override
    public boolean isLeader() {
      return !cutOff && this == members.get(0);
    }

    @Override
    public long term() {
      return term;
    }

    @Override
    public long appliedIndex() {
      return applied;
    }

    private void catchUp() {
      while (!cutOff && applied < log.size()) {
        byte[] command = log.get(applied++);
        lastResult = machine.apply(applied, command);
      }
    }
  }
}
