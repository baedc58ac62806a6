package org.cornelspoke.coordination.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.cornelspoke.state.log.EntryKind;
import org.cornelspoke.state.log.LogEntry;
import org.cornelspoke.state.log.MemberIdentity;

/**
 * Checks the VMs against a reference model: one append-only sequence of applied entries, one leader
 * per term, and the set of acknowledged commands.
 */
final class HistoryChecker {

  private final List<String> violations = new ArrayList<>();
  private final Map<Long, MemberIdentity> leaderByTerm = new HashMap<>();
  private final TreeMap<Long, LogEntry> appliedEntries = new TreeMap<>();
  private final Set<Long> acknowledged = new HashSet<>();
  private long acknowledgedIndex;
  private int readCount;

  List<String> violations() {
    return violations;
  }

  void addViolation(String text) {
    violations.add(text);
  }

  int acknowledgedCount() {
    return acknowledged.size();
  }

  int readCount() {
    return readCount;
  }

  long acknowledgedIndex() {
    return acknowledgedIndex;
  }

  void observeRole(SimulatedVm vm) {
    if (vm.node.role() == RaftNode.Role.LEADER) {
      MemberIdentity previous = leaderByTerm.putIfAbsent(vm.node.term(), vm.node.identity());
      if (previous != null && !previous.equals(vm.node.identity())) {
        addViolation("two leaders in term " + vm.node.term());
      }
    }
  }

  void checkApplied(SimulatedVm vm, LogEntry entry) {
    LogEntry previous = appliedEntries.putIfAbsent(entry.index(), entry);
    if (previous != null && !previous.equals(entry)) {
      addViolation(vm.vmId + " applied " + entry + " but " + previous + " was applied before");
    }
    if (previous == null && entry.index() > 1 && !appliedEntries.containsKey(entry.index() - 1)) {
      addViolation(vm.vmId + " applied " + entry + " after a gap");
    }
  }

  void checkRestored(SimulatedVm vm) {
    if (!vm.state().equals(commandsUpTo(vm.applied))) {
      addViolation(vm.vmId + " restored a state that differs at " + vm.applied);
    }
  }

  void acknowledged(long command, long index) {
    if (!acknowledged.add(command)) {
      addViolation("command " + command + " was acknowledged twice");
    }
    acknowledgedIndex = Math.max(acknowledgedIndex, index);
  }

  void checkRead(SimulatedVm vm, long floor, long index) {
    readCount++;
    if (index < floor) {
      addViolation(vm.vmId + " confirmed read index " + index + " below acknowledged " + floor);
    }
  }

  /** Checks the final state of a member that has caught up after the faults have ended. */
  void checkFinal(SimulatedVm vm) {
    Set<Long> seen = new HashSet<>();
    for (long command : vm.state()) {
      if (!seen.add(command)) {
        addViolation("command " + command + " was applied twice on " + vm.vmId);
      }
    }
    if (!seen.containsAll(acknowledged)) {
      Set<Long> lost = new HashSet<>(acknowledged);
      lost.removeAll(seen);
      addViolation("acknowledged commands " + lost + " are lost on " + vm.vmId);
    }
    if (!vm.state().equals(commandsUpTo(vm.applied))) {
      addViolation(vm.vmId + " holds another sequence");
    }
  }

  private List<Long> commandsUpTo(long index) {
    return appliedEntries.headMap(index, true).values().stream()
        .filter(e -> e.kind() == EntryKind.COMMAND)
        .map(e -> java.nio.ByteBuffer.wrap(e.data()).getLong())
        .toList();
  }
}
