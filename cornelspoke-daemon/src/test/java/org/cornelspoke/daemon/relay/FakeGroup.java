package org.cornelspoke.daemon.relay;

import io.activej.reactor.Reactor;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cornelspoke.coordination.consensus.ReplicatedLog;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.machine.ControlStateMachine;

/**
 * Replicated log members in one event loop, without a network. The first member is the leader. An
 * isolated member applies nothing, and its proposals and reads fail. Calls take effect in the order
 * in which they were made; {@code post} would run the latest one first and hide races.
 */
final class FakeGroup {

  final List<Member> members = new ArrayList<>();
  private final Reactor reactor;
  private final List<byte[]> log = new ArrayList<>();
  private final List<Runnable> delayedProposals = new ArrayList<>();
  private boolean delaying;
  private int repliesToLose;
  private long term = 1;

  FakeGroup(Reactor reactor, int size) {
    this.reactor = reactor;
    for (int i = 1; i <= size; i++) {
      members.add(new Member(new VmId("control-" + i)));
    }
  }

  /** Commits the next proposals, but reports their outcome to the proposers as unknown. */
  void loseReplies(int count) {
    repliesToLose = count;
  }

  /** Delays the proposals from now on until {@link #commitDelayedProposals}. */
  void delayProposals() {
    delaying = true;
  }

  /** Lets later proposals pass; those that were delayed stay so. */
  void stopDelaying() {
    delaying = false;
  }

  /** Commits the delayed proposals now. */
  void commitDelayedProposals() {
    delayedProposals.forEach(Runnable::run);
    delayedProposals.clear();
  }

  int logSize() {
    return log.size();
  }

  final class Member implements ReplicatedLog {

    final VmId vm;
    final ControlStateMachine machine = new ControlStateMachine();
    boolean isolated;
    private int appliedIndex;
    private byte[] lastResult;

    Member(VmId vm) {
      this.vm = vm;
    }

    @Override
    public void propose(byte[] command, ProposalListener listener) {
      if (delaying) {
        delayedProposals.add(() -> commit(command, listener));
      } else {
        reactor.postLast(() -> commit(command, listener));
      }
    }

    private void commit(byte[] command, ProposalListener listener) {
      if (isolated) {
        listener.onNotAppended("no leader");
        return;
      }
      log.add(command);
      members.forEach(Member::catchUp);
      if (repliesToLose > 0) {
        repliesToLose--;
        listener.onUnknown("answer lost");
      } else {
        listener.onCommitted(appliedIndex, lastResult);
      }
    }

    @Override
    public void readIndex(ReadListener listener) {
      reactor.postLast(
          () -> {
            if (isolated) {
              listener.onUnavailable("no quorum");
            } else {
              catchUp();
              listener.onCurrent(appliedIndex);
            }
          });
    }

    @Override
    public Optional<VmId> leader() {
      return isolated ? Optional.empty() : Optional.of(members.get(0).vm);
    }

    @Override
    public boolean isLeader() {
      return !isolated && this == members.get(0);
    }

    @Override
    public long term() {
      return term;
    }

    @Override
    public long appliedIndex() {
      return appliedIndex;
    }

    private void catchUp() {
      while (!isolated && appliedIndex < log.size()) {
        byte[] command = log.get(appliedIndex++);
        lastResult = machine.apply(appliedIndex, command);
      }
    }
  }
}
