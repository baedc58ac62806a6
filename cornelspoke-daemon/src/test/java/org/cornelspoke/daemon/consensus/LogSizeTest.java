package org.cornelspoke.daemon.consensus;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.stream.Stream;
import org.cornelspoke.coordination.consensus.RaftSettings;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.VmId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LogSizeTest {

  private static final int COMMANDS = 120;
  private static final int COMMAND_BYTES = 500_000;

  /** Entries between snapshots are far more than the commands, so only their size matters. */
  private static final ConsensusSettings SETTINGS =
      new ConsensusSettings(RaftSettings.DEFAULT, 10_000, 4 << 20, 5_000);

  private final VmId vmId = new VmId("control-1");
  @TempDir private Path folder;

  /**
   * Guards against a log whose length is limited by the number of its entries only: large
   * configurations filled the heap and the disk of a control VM.
   */
  @Test
  void diskUseIsLimitedForLargeCommands() throws Exception {
    RunningVm vm = start();
    for (int i = 0; i < COMMANDS; i++) {
      assertThat(vm.proposeUntilCommitted(command(i))).startsWith("committed");
      // The state grows by each command; a configuration replaces its predecessor.
      vm.call(
          () -> {
            vm.state.clear();
            return null;
          });
    }
    assertThat(folderBytes()).isLessThan((long) COMMANDS * COMMAND_BYTES * 2 / 3);
    vm.stop();
  }

  /** Guards against entries that cannot be applied after a restart, as their data is on disk. */
  @Test
  void largeCommandsAreAppliedAfterARestart() throws Exception {
    RunningVm vm = start();
    for (int i = 0; i < 20; i++) {
      vm.proposeUntilCommitted(command(i));
    }
    vm.stop();
    vm = start();
    for (int i = 20; i < 40; i++) {
      vm.proposeUntilCommitted(command(i));
    }
    vm.stop();
    vm = start();

    assertThat(vm.readCurrent()).hasSize(40);
    for (int i = 0; i < 40; i++) {
      assertThat(vm.readCurrent().get(i)).isEqualTo(command(i));
    }
    vm.stop();
  }

  private RunningVm start() throws Exception {
    try (ServerSocket reserved = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Endpoint address = new Endpoint("127.0.0.1", reserved.getLocalPort());
      reserved.close();
      return new RunningVm(vmId, folder, Map.of(vmId, address), SETTINGS);
    }
  }

  private long folderBytes() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.mapToLong(LogSizeTest::sizeBytes).sum();
    }
  }

  private static long sizeBytes(Path file) {
    try {
      return Files.size(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static String command(int number) {
    return Integer.toString(number) + "-" + "x".repeat(COMMAND_BYTES);
  }
}
