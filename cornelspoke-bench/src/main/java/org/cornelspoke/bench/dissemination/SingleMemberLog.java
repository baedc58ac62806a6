package org.cornelspoke.bench.dissemination;

import io.activej.reactor.Reactor;
import java.util.Optional;
import org.cornelspoke.coordination.consensus.ReplicatedLog;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.StateMachine;

/** A log of one member that keeps nothing: it applies each command in the next iteration. */
final class SingleMemberLog implements ReplicatedLog {

  private final Reactor reactor;
  private final VmId vm;
  private final StateMachine machine;
  private long applied;

  SingleMemberLog(Reactor reactor, VmId vm, StateMachine machine) {
    this.reactor = reactor;
    this.vm = vm;
    this.machine = machine;
  }

  @Override
  public void propose(byte[] command, ProposalListener listener) {
    reactor.postLast(
        () -> {
          applied++;
          listener.onCommitted(applied, machine.apply(applied, command));
        });
  }

  @Override
  public void readIndex(ReadListener listener) {
    reactor.postLast(() -> listener.onCurrent(applied));
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
    return applied;
  }
}
