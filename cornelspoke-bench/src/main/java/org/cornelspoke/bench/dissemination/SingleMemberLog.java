package org.cornelspoke.bench.dissemination;

import io.activej.reactor.Reactor;
import java.util.Optional;
import org.cornelspoke.coordination.consensus.ReplicatedLog;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.StateMachine;

/** A single-member log without storage; applies each command in the next loop iteration. */
final class SingleMemberLog implements ReplicatedLog {

  private final Reactor reactor;
  private final VmId vm;
  private final StateMachine stateMachine;
  private long lastAppliedIndex;

  SingleMemberLog(Reactor reactor, VmId vm, StateMachine stateMachine) {
    this.reactor = reactor;
    this.vm = vm;
    this.stateMachine = stateMachine;
  }

  @Override
  public void propose(byte[] command, ProposalListener listener) {
    reactor.postLast(
        () -> {
          lastAppliedIndex++;
          listener.onCommitted(lastAppliedIndex, stateMachine.apply(lastAppliedIndex, command));
        });
  }

  @Override
  public void readIndex(ReadListener listener) {
    reactor.postLast(() -> listener.onCurrent(lastAppliedIndex));
  }

  @Override
  public Optional<VmId> leader() {
    return Optional.of(vm);
  }

  @Override
  public boolean isLeader() {
    return true;
  }

  @Override
  public long term() {
    return 1;
  }

  @Override
  public long appliedIndex() {
    return lastAppliedIndex;
  }
}
