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
 * Compares what the VMs do with a single copy: one sequence of applied entries that grows only, one
 * leader per term, and the set of acknowledged commands.
 */
final class HistoryChecker {

  private final List<String> violations = new ArrayList<>();
  private final Map<Long, MemberIdentity> leaders = new HashMap<>();
  private final TreeMap<Long, LogEntry> sequence = new TreeMap<>();
  private final Set<Long> acknowledged = new HashSet<>();
  private long acknowledgedIndex;
  private int reads;

  List<String> violations() {
    return violations;
  }

  void violation(String text) {
    violations.add(text);
  }

  int acknowledgedCount() {
    return acknowledged.size();
  }

  int readCount() {
    return reads;
  }

  long acknowledgedIndex() {
    return acknowledgedIndex;
  }

  void observeRole(SimulatedVm vm) {
    if (vm.node.role() == RaftNode.Role.LEADER) {
      MemberIdentity before = leaders.putIfAbsent(vm.node.term(), vm.node.identity());
      if (before != null && !before.equals(vm.node.identity())) {
        violation("two leaders in term " + vm.node.term());
      }
    }
  }

  void checkApplied(SimulatedVm vm, LogEntry entry) {
    LogEntry before = sequence.putIfAbsent(entry.index(), entry);
    if (before != null && !before.equals(entry)) {
      violation(vm.vmId + " applied " + entry + " but " + before + " was applied before");
    }
    if (before == null && entry.index() > 1 && !sequence.containsKey(entry.index() - 1)) {
      violation(vm.vmId + " applied " + entry + " after a gap");
    }
  }

  void checkRestored(SimulatedVm vm) {
    if (!vm.state().equals(commandsUpTo(vm.applied))) {
      violation(vm.vmId + " restored a state that differs at " + vm.applied);
    }
  }

  void acknowledged(long command, long index) {
    if (!acknowledged.add(command)) {
      violation("command " + command + " was acknowledged twice");
    }
    acknowledgedIndex = Math.max(acknowledgedIndex, index);
  }

  void checkRead(SimulatedVm vm, long floor, long index) {
    reads++;
    if (index < floor) {
      violation(vm.vmId + " confirmed read index " + index + " below acknowledged " + floor);
    }
  }

  /** Checks a member after the faults have ended and it has caught up. */
  void checkFinal(SimulatedVm vm) {
    Set<Long> seen = new HashSet<>();
    for (long command : vm.state()) {
      if (!seen.add(command)) {
        violation("command " + command + " was applied twice on " + vm.vmId);
      }
    }
    if (!seen.containsAll(acknowledged)) {
      Set<Long> lost = new HashSet<>(acknowledged);
      lost.removeAll(seen);
      violation("acknowledged commands " + lost + " are lost on " + vm.vmId);
    }
    if (!vm.state().equals(commandsUpTo(vm.applied))) {
      violation(vm.vmId + " holds another sequence");
    }
  }

  private List<Long> commandsUpTo(long index) {
    return sequence.headMap(index, true).values().stream()
        .filter(e -> e.kind() == EntryKind.COMMAND)
        .map(e -> java.nio.ByteBuffer.wrap(e.data()).getLong())
        .toList();
  }
}
