package org.cornelspoke.daemon.consensus;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.log.DamagedStorageException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs five services in one JVM with real sockets and with disks that refuse writes for a while.
 */
class FailedDiskTest {

  private static final int VM_COUNT = 5;
  private static final long RECOVERY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);
  private static final long STALL_NANOS = TimeUnit.SECONDS.toNanos(3);
  private static final long RETRY_DELAY_MILLIS = 10;

  private static final Predicate<String> COMPLETE_SNAPSHOT =
      Pattern.compile("snapshot-[0-9a-f]+").asMatchPredicate();

  private final Map<VmId, Endpoint> addresses = new TreeMap<>(Comparator.comparing(VmId::value));
  private final Map<VmId, RunningVm> vms = new TreeMap<>(Comparator.comparing(VmId::value));
  private int commandCount;
  @TempDir private Path folder;

  @BeforeEach
  void reserveAddresses() throws Exception {
    List<ServerSocket> reserved = new ArrayList<>();
    for (int i = 1; i <= VM_COUNT; i++) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      reserved.add(socket);
      addresses.put(new VmId("control-" + i), new Endpoint("127.0.0.1", socket.getLocalPort()));
    }
    for (ServerSocket socket : reserved) {
      socket.close();
    }
  }

  @AfterEach
  void stopAll() throws Exception {
    for (RunningVm vm : vms.values()) {
      vm.stop();
    }
  }

  @Test
  void groupCommitsAfterTheDisksOfAMajorityHaveFailedOneAtATime() throws Exception {
    startAll();
    List<RunningVm> all = List.copyOf(vms.values());
    assertThat(commit(all.get(0))).isTrue();
    for (RunningVm failing : all.subList(0, VM_COUNT / 2 + 1)) {
      failing.faults.setFailing(true);
      RunningVm sound = all.get(VM_COUNT - 1);
      assertThat(commitUntil(sound, () -> syncFailures(failing) > 0)).isTrue();
      failing.faults.setFailing(false);
    }
    for (RunningVm vm : all) {
      assertThat(commit(vm)).isTrue();
      assertThat(vm.readCurrent()).contains("command-" + commandCount);
    }
  }

  @Test
  void vmStartedOnADiskThatRefusesWritesJoinsOnceItAcceptsThem() throws Exception {
    startAll();
    assertThat(commit(vm(1))).isTrue();
    restart(5, refusingDisk());
    RunningVm waiting = vm(5);
    assertThat(commit(vm(1))).isTrue();
    assertThat(waiting.propose("refused")).isEqualTo("not-appended");
    assertThat(waiting.call(waiting.service::leader)).isEmpty();
    assertThat(waiting.call(waiting.service::members)).isEmpty();
    waiting.faults.setRefusing(false);
    assertThat(commit(waiting)).isTrue();
    assertThat(waiting.readCurrent()).containsAtLeast("command-1", "command-2", "command-3");
    assertThat(waiting.readCurrent()).doesNotContain("refused");
  }

  @Test
  void groupFormsOnceTheDiskOfItsFirstVmAcceptsWrites() throws Exception {
    start(1, refusingDisk());
    for (int i = 2; i <= VM_COUNT; i++) {
      start(i, new FaultyDisk.FaultControl());
    }
    assertThat(vm(2).propose("too early")).isEqualTo("not-appended");
    vm(1).faults.setRefusing(false);
    assertThat(commit(vm(2))).isTrue();
    assertThat(commit(vm(1))).isTrue();
  }

  @Test
  void vmThatWaitsForItsDiskStopsAndReleasesTheFolder() throws Exception {
    startAll();
    assertThat(commit(vm(5))).isTrue();
    restart(5, refusingDisk());
    restart(5, new FaultyDisk.FaultControl());
    assertThat(commit(vm(5))).isTrue();
  }

  @Test
  void startFailsOnAFolderThatAnotherProcessUses() throws Exception {
    startAll();
    VmId inUse = vm(5).vmId;
    Map<VmId, Endpoint> freeAddress = new HashMap<>(addresses);
    freeAddress.put(inUse, new Endpoint("127.0.0.1", 0));
    ExecutionException e =
        assertThrows(
            ExecutionException.class,
            () ->
                new RunningVm(
                    inUse,
                    folder.resolve(inUse.value()),
                    freeAddress,
                    new FaultyDisk.FaultControl()));
    assertThat(e).hasCauseThat().hasMessageThat().contains("in use by another process");
  }

  @Test
  void refusalIsShownWithItsCauseAndEndsWithIt() throws Exception {
    startAll();
    RunningVm failing = vm(5);
    assertThat(commit(failing)).isTrue();
    assertThat(failing.service.folderRefusalCause()).isEmpty();
    failing.faults.setRefusing(true);
    assertThat(commitUntil(vm(1), () -> gauge(failing, "storage-failed-seconds") > 0)).isTrue();
    assertThat(gauge(failing, "storage-failed")).isEqualTo(1);
    assertThat(failing.service.folderRefusalCause().orElseThrow())
        .matches("appending \\d+ bytes to log-.* failed with .* bytes usable: .*No space left.*");
    failing.faults.setRefusing(false);
    assertThat(commitUntil(vm(1), () -> gauge(failing, "storage-failed") == 0)).isTrue();
    assertThat(failing.service.folderRefusalCause()).isEmpty();
    assertThat(gauge(failing, "storage-failed-seconds")).isEqualTo(0);
  }

  @Test
  void errorOfTheLogWriterIsReportedAsAFailureOfTheVm() throws Exception {
    startAll();
    assertThat(commit(vm(1))).isTrue();
    vm(5).faults.setError(new AssertionError("simulated"));
    assertThat(commit(vm(1))).isTrue();
    assertThat(vm(5).failure.get(30, TimeUnit.SECONDS)).hasMessageThat().isEqualTo("simulated");
  }

  @Test
  void committedEntryThatCannotBeReadIsReportedAsAFailureOfTheVm() throws Exception {
    startAll();
    assertThat(commit(vm(1))).isTrue();
    vm(5).applyFails = true;
    assertThat(commit(vm(1))).isTrue();
    assertThat(vm(5).failure.get(30, TimeUnit.SECONDS)).isInstanceOf(UncheckedIOException.class);
  }

  @Test
  void folderThatIsFoundDamagedWhenItOpensAgainIsReportedAsAFailureOfTheVm() throws Exception {
    startAll();
    assertThat(commit(vm(1))).isTrue();
    vm(5).faults.setFailing(true);
    assertThat(commitUntil(vm(1), () -> syncFailures(vm(5)) > 0)).isTrue();
    Files.delete(folder.resolve("control-5").resolve("meta"));
    vm(5).faults.setFailing(false);
    assertThat(vm(5).failure.get(30, TimeUnit.SECONDS)).isInstanceOf(DamagedStorageException.class);
  }

  @Test
  void groupCommitsWhileOneDiskFailsAndThatOfAnotherVmHasJustRecovered() throws Exception {
    startAll();
    assertThat(commit(vm(1))).isTrue();
    for (int i = 1; i <= VM_COUNT; i++) {
      RunningVm failing = vm(i);
      failing.faults.setFailing(true);
      if (i > 1) {
        vm(i - 1).faults.setFailing(false);
      }
      long failuresBefore = syncFailures(failing);
      RunningVm sound = vm(i % VM_COUNT + 1);
      assertThat(commitUntil(sound, () -> syncFailures(failing) > failuresBefore)).isTrue();
    }
    vm(VM_COUNT).faults.setFailing(false);
    assertAllCommitAndAgree();
  }

  @Test
  void vmJoinsAfterItsDiskFailedAgainWhileTheLogWasOpened() throws Exception {
    startAll();
    RunningVm failing = vm(5);
    assertThat(commit(failing)).isTrue();
    for (int i = 0; i < 3; i++) {
      long failuresBefore = syncFailures(failing);
      failing.faults.setRefusing(true);
      assertThat(commitUntil(vm(1), () -> syncFailures(failing) > failuresBefore)).isTrue();
      failing.faults.setFailing(true);
      failing.faults.setRefusing(false);
      assertThat(commitUntil(vm(1), () -> syncFailures(failing) > failuresBefore + 1)).isTrue();
      failing.faults.setRefusing(true);
      failing.faults.setFailing(false);
      assertThat(commitUntil(vm(1), () -> syncFailures(failing) > failuresBefore + 2)).isTrue();
    }
    failing.faults.setRefusing(false);
    assertAllCommitAndAgree();
  }

  @Test
  void groupCommitsWhileTheDiskOfTheLeaderStalls() throws Exception {
    startAll();
    assertThat(commit(vm(1))).isTrue();
    RunningVm leader = vms.get(vm(1).call(vm(1).service::leader).orElseThrow());
    RunningVm other = leader == vm(1) ? vm(2) : vm(1);
    long startNanos = System.nanoTime();
    leader.faults.setStalled(true);
    assertThat(commitUntil(other, () -> System.nanoTime() - startNanos > STALL_NANOS)).isTrue();
    leader.faults.setStalled(false);
    assertAllCommitAndAgree();
  }

  @Test
  void proposalThatAVmWithAFailingDiskRefusesIsNeverInForce() throws Exception {
    startAll();
    assertThat(commit(vm(1))).isTrue();
    Map<String, String> outcomes = new HashMap<>();
    for (int i = 1; i <= VM_COUNT; i++) {
      RunningVm failing = vm(i);
      failing.faults.setRefusing(true);
      for (int k = 0; k < 10; k++) {
        String command = "once-" + i + "-" + k;
        outcomes.put(command, failing.propose(command));
      }
      failing.faults.setRefusing(false);
    }
    assertAllCommitAndAgree();
    List<String> state = vm(1).readCurrent();
    outcomes.forEach(
        (command, outcome) -> {
          if (outcome.equals("not-appended")) {
            assertThat(state).doesNotContain(command);
          } else if (outcome.startsWith("committed")) {
            assertThat(state).contains(command);
          }
        });
  }

  @Test
  void snapshotThatWasDueWhileTheDiskRefusedWritesIsStoredAfterwards() throws Exception {
    startAll();
    assertThat(commit(vm(1))).isTrue();
    vm(5).faults.setRefusing(true);
    for (int i = 0; i < RunningVm.SETTINGS.entriesBetweenSnapshots(); i++) {
      assertThat(commit(vm(1))).isTrue();
    }
    assertThat(vm(5).readCurrent()).contains("command-" + commandCount);
    vm(5).faults.setRefusing(false);
    long startNanos = System.nanoTime();
    while (!hasSnapshot(vm(5)) && System.nanoTime() - startNanos < RECOVERY_TIMEOUT_NANOS) {
      Thread.sleep(RETRY_DELAY_MILLIS);
    }
    assertThat(hasSnapshot(vm(5))).isTrue();
  }

  private boolean hasSnapshot(RunningVm vm) throws IOException {
    try (Stream<Path> files = Files.list(folder.resolve(vm.vmId.value()))) {
      return files.map(file -> file.getFileName().toString()).anyMatch(COMPLETE_SNAPSHOT);
    }
  }

  @Test
  void vmJoinsAfterARestartWhileItsDiskRefusedWrites() throws Exception {
    startAll();
    assertThat(commit(vm(5))).isTrue();
    vm(5).faults.setRefusing(true);
    assertThat(commitUntil(vm(1), () -> syncFailures(vm(5)) > 0)).isTrue();
    restart(5, refusingDisk());
    assertThat(commit(vm(1))).isTrue();
    vm(5).faults.setRefusing(false);
    assertAllCommitAndAgree();
  }

  private void assertAllCommitAndAgree() throws Exception {
    for (RunningVm vm : vms.values()) {
      assertThat(commit(vm)).isTrue();
    }
    List<String> state = vm(1).readCurrent();
    for (RunningVm vm : vms.values()) {
      assertThat(vm.readCurrent()).isEqualTo(state);
    }
  }

  private void startAll() throws Exception {
    for (int i = 1; i <= VM_COUNT; i++) {
      start(i, new FaultyDisk.FaultControl());
    }
  }

  private void start(int number, FaultyDisk.FaultControl faults) throws Exception {
    VmId vmId = new VmId("control-" + number);
    vms.put(vmId, new RunningVm(vmId, folder.resolve(vmId.value()), addresses, faults));
  }

  private void restart(int number, FaultyDisk.FaultControl faults) throws Exception {
    RunningVm stopped = vm(number);
    stopped.stop();
    vms.remove(stopped.vmId);
    start(number, faults);
  }

  private RunningVm vm(int number) {
    return vms.get(new VmId("control-" + number));
  }

  private static FaultyDisk.FaultControl refusingDisk() {
    FaultyDisk.FaultControl faults = new FaultyDisk.FaultControl();
    faults.setRefusing(true);
    return faults;
  }

  private interface Condition {
    boolean holds() throws Exception;
  }

  /** Commits commands until the condition holds; returns false if that takes too long. */
  private boolean commitUntil(RunningVm vm, Condition condition) throws Exception {
    long startNanos = System.nanoTime();
    while (!condition.holds()) {
      if (!commit(vm) || System.nanoTime() - startNanos >= RECOVERY_TIMEOUT_NANOS) {
        return false;
      }
    }
    return true;
  }

  private boolean commit(RunningVm vm) throws Exception {
    commandCount++;
    long startNanos = System.nanoTime();
    while (System.nanoTime() - startNanos < RECOVERY_TIMEOUT_NANOS) {
      if (vm.propose("command-" + commandCount).startsWith("committed")) {
        return true;
      }
      Thread.sleep(RETRY_DELAY_MILLIS);
    }
    return false;
  }

  private static long gauge(RunningVm vm, String name) {
    return ((Number) vm.metrics.getGauges().get("consensus." + name).getValue()).longValue();
  }

  private static long syncFailures(RunningVm vm) {
    return vm.metrics.counter("consensus.sync-failures").getCount();
  }
}
