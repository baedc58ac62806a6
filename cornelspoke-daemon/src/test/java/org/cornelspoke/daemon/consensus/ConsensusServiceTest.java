package org.cornelspoke.daemon.consensus;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.log.MemberIdentity;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs three services in one JVM with real sockets and files. */
class ConsensusServiceTest {

  private final Map<VmId, Endpoint> addresses = new TreeMap<>(Comparator.comparing(VmId::value));
  private final Map<VmId, RunningVm> vms = new TreeMap<>(Comparator.comparing(VmId::value));
  private final List<String> committed = new ArrayList<>();
  private int unknownOutcomes;
  @TempDir private Path folder;

  @BeforeEach
  void startThree() throws Exception {
    List<ServerSocket> reserved = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      reserved.add(socket);
      addresses.put(new VmId("control-" + i), new Endpoint("127.0.0.1", socket.getLocalPort()));
    }
    for (ServerSocket socket : reserved) {
      socket.close();
    }
    for (VmId vmId : addresses.keySet()) {
      start(vmId);
    }
  }

  @AfterEach
  void stopAll() throws Exception {
    for (RunningVm vm : vms.values()) {
      vm.stop();
      // A command that was refused or committed must not be in the log twice.
      assertThat(vm.duplicates).isAtMost(unknownOutcomes + countUnknown());
    }
  }

  private int countUnknown() {
    return vms.values().stream().mapToInt(vm -> vm.unknownOutcomes).sum();
  }

  /** Guards against commands lost by forwarding, a leader failure or a restart of all VMs. */
  @Test
  void commandsSurviveLeaderLossAndRestartOfAll() throws Exception {
    for (int i = 0; i < 50; i++) {
      commit(follower(), "before-" + i);
    }
    VmId stopped = leader().vmId;
    stop(stopped);
    for (int i = 0; i < 30; i++) {
      commit(vms.values().iterator().next(), "without-leader-" + i);
    }
    start(stopped);
    assertThat(vms.get(stopped).readCurrent()).isEqualTo(committed);
    for (VmId vmId : addresses.keySet()) {
      stop(vmId);
    }
    for (VmId vmId : addresses.keySet()) {
      start(vmId);
    }
    for (RunningVm vm : vms.values()) {
      assertThat(vm.readCurrent()).isEqualTo(committed);
    }
    commit(follower(), "after");
    for (RunningVm vm : vms.values()) {
      assertThat(vm.readCurrent()).isEqualTo(committed);
    }
  }

  /** Guards against a wiped VM that forms a second group, or votes before it has caught up. */
  @Test
  void wipedVmIsReplacedAndSecondVmMayThenBeLost() throws Exception {
    for (int i = 0; i < 40; i++) {
      commit(follower(), "before-" + i);
    }
    VmId wiped = new VmId("control-1");
    MemberIdentity formerIdentity = identityOf(wiped);
    stop(wiped);
    wipe(wiped);
    start(wiped);
    commit(vms.get(new VmId("control-2")), "while-wiped");
    assertThat(
            retryWhileRefused(
                leader -> leader.outcome(listener -> leader.service.addLearner(wiped, listener))))
        .startsWith("committed");
    assertThat(
            retryWhileRefused(
                leader ->
                    leader.outcome(listener -> leader.service.remove(formerIdentity, listener))))
        .startsWith("committed");
    MemberIdentity newIdentity = identityOf(wiped);
    assertThat(newIdentity).isNotEqualTo(formerIdentity);
    assertThat(
            retryWhileRefused(
                leader ->
                    leader.outcome(listener -> leader.service.promote(newIdentity, listener))))
        .startsWith("committed");
    stop(new VmId("control-2"));
    commit(vms.get(wiped), "after-second-loss");
    for (RunningVm vm : vms.values()) {
      assertThat(vm.readCurrent()).isEqualTo(committed);
    }
  }

  /** Guards against missing or constant metrics, which would hide a slow disk. */
  @Test
  void metricsShowTermCommitAndSyncs() throws Exception {
    commit(leader(), "first");
    RunningVm leader = leader();
    assertThat(leader.metrics.getGauges().keySet())
        .containsExactly(
            "consensus.term",
            "consensus.commit-index",
            "consensus.applied-index",
            "consensus.storage-failed",
            "consensus.storage-failed-seconds");
    assertThat(leader.metrics.timer("consensus.sync").getCount()).isAtLeast(1);
    assertThat(leader.metrics.histogram("consensus.batch-entries").getCount()).isAtLeast(1);
    assertThat(leader.metrics.counter("consensus.sync-failures").getCount()).isEqualTo(0);
    for (int i = 0; i < 1000 && electionCount(leader) == 0; i++) {
      Thread.sleep(10);
    }
    assertThat(electionCount(leader)).isAtLeast(1);
  }

  /**
   * Guards against syncs that block the event loop: a leader whose disk is stalled still replies,
   * sends heartbeats and commits what the two other members have synced.
   */
  @Test
  void stalledDiskDelaysNeitherLeaderNorOthers() throws Exception {
    commit(leader(), "first");
    RunningVm stalled = leader();
    stalled.faults.setStalled(true);
    for (int i = 0; i < 30; i++) {
      commit(stalled, "stalled-" + i);
    }
    assertThat(stalled.readCurrent()).isEqualTo(committed);
    stalled.faults.setStalled(false);
    commit(follower(), "after");
    for (RunningVm vm : vms.values()) {
      assertThat(vm.readCurrent()).isEqualTo(committed);
    }
  }

  /** Guards against a leader that keeps leading or acknowledging after its disk has failed. */
  @Test
  void failingDiskEndsLeadership() throws Exception {
    commit(leader(), "first");
    RunningVm failing = leader();
    failing.faults.setFailing(true);
    String outcome = failing.propose("lost-or-not");
    for (int i = 0; i < 3000 && leader() == failing; i++) {
      Thread.sleep(10);
    }
    assertThat(failing.metrics.counter("consensus.sync-failures").getCount()).isAtLeast(1);
    assertThat(failing.metrics.getGauges().get("consensus.storage-failed").getValue()).isEqualTo(1);
    RunningVm next = leader();
    assertThat(next).isNotSameInstanceAs(failing);
    long acknowledgedIndex = matchIndex(next, failing.vmId);
    assertThat(failing.proposeUntilCommitted("forwarded")).startsWith("committed");
    assertThat(next.proposeUntilCommitted("after")).startsWith("committed");
    assertThat(failing.readCurrent()).containsAtLeast("first", "forwarded", "after");
    boolean leads = failing.call(failing.service::isLeader);
    assertThat(leads).isFalse();
    assertThat(matchIndex(next, failing.vmId)).isEqualTo(acknowledgedIndex);
    if (outcome.startsWith("committed")) {
      assertThat(next.readCurrent()).contains("lost-or-not");
    } else if (outcome.equals("not-appended")) {
      assertThat(next.readCurrent()).doesNotContain("lost-or-not");
    }
  }

  /** Guards against a command that a VM with a failing disk refuses and that is in force later. */
  @Test
  void commandRefusedByAVmWithAFailingDiskIsNotInForceLater() throws Exception {
    commit(leader(), "first");
    RunningVm failing = leader();
    failing.faults.setFailing(true);
    failing.propose("lost-or-not");
    List<VmId> others =
        addresses.keySet().stream().filter(vmId -> !vmId.equals(failing.vmId)).toList();
    for (VmId vmId : others) {
      stop(vmId);
    }
    String refused = "";
    for (int i = 0; i < 100 && refused.isEmpty(); i++) {
      refused = failing.propose("refused-" + i).equals("not-appended") ? "refused-" + i : "";
    }
    assertThat(refused).isNotEmpty();
    for (VmId vmId : others) {
      start(vmId);
    }
    failing.faults.setFailing(false);
    assertThat(failing.proposeUntilCommitted("after")).startsWith("committed");
    for (RunningVm vm : vms.values()) {
      assertThat(vm.readCurrent()).containsAtLeast("first", "after");
      assertThat(vm.readCurrent()).doesNotContain(refused);
    }
  }

  /** Guards against two processes on one data folder. */
  @Test
  void secondServiceOnTheSameFolderIsRefused() {
    VmId used = new VmId("control-1");
    assertThrows(
        Exception.class, () -> new RunningVm(used, folder.resolve(used.value()), addresses));
  }

  /** Guards against commands that a VM without a quorum reports as committed. */
  @Test
  void singleVmOfThreeConfirmsNothing() throws Exception {
    commit(follower(), "first");
    RunningVm last = follower();
    for (VmId vmId : addresses.keySet()) {
      if (!vmId.equals(last.vmId)) {
        stop(vmId);
      }
    }
    assertThat(last.propose("lost")).isNoneOf("committed #2", "committed #1");
    Boolean leads = last.call(last.service::isLeader);
    assertThat(leads).isFalse();
  }

  private static long electionCount(RunningVm vm) {
    return vm.metrics.counter("consensus.elections").getCount();
  }

  private interface Operation {
    String run(RunningVm leader) throws Exception;
  }

  /** Retries a membership change while it is refused, for example before the learner caught up. */
  private String retryWhileRefused(Operation operation) throws Exception {
    String outcome = "";
    for (int i = 0; i < 1000; i++) {
      outcome = operation.run(leader());
      if (!outcome.equals("not-appended")) {
        return outcome;
      }
      Thread.sleep(20);
    }
    return outcome;
  }

  private void commit(RunningVm vm, String command) throws Exception {
    assertThat(vm.proposeUntilCommitted(command)).isEqualTo("committed #" + (committed.size() + 1));
    committed.add(command);
  }

  private RunningVm leader() throws Exception {
    for (int i = 0; i < 3000; i++) {
      for (RunningVm vm : vms.values()) {
        boolean leads = vm.call(vm.service::isLeader);
        if (leads) {
          return vm;
        }
      }
      Thread.sleep(10);
    }
    throw new IllegalStateException("no leader");
  }

  private RunningVm follower() throws Exception {
    RunningVm leader = leader();
    return vms.values().stream().filter(vm -> vm != leader).findFirst().orElseThrow();
  }

  private MemberIdentity identityOf(VmId vmId) throws Exception {
    RunningVm leader = leader();
    return leader.call(
        () ->
            leader.service.members().stream()
                .map(MemberStatus::member)
                .filter(m -> m.vmId().equals(vmId))
                .findFirst()
                .orElseThrow()
                .identity());
  }

  private static long matchIndex(RunningVm leader, VmId vmId) throws Exception {
    return leader.call(
        () ->
            leader.service.members().stream()
                .filter(status -> status.member().vmId().equals(vmId))
                .findFirst()
                .orElseThrow()
                .matchIndex());
  }

  private void start(VmId vmId) throws Exception {
    vms.put(vmId, new RunningVm(vmId, folder.resolve(vmId.value()), addresses));
  }

  private void stop(VmId vmId) throws Exception {
    RunningVm vm = vms.remove(vmId);
    vm.stop();
    unknownOutcomes += vm.unknownOutcomes;
  }

  private void wipe(VmId vmId) throws IOException {
    try (Stream<Path> files = Files.list(folder.resolve(vmId.value()))) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
  }
}
