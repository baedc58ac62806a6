package org.cornelspoke.bench;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against commands that can't be reached, or exit codes that hide a failure. */
class MainTest {

  @TempDir private Path folder;

  @Test
  void usageErrorsExitWithTwo() {
    assertThat(Main.run()).isEqualTo(2);
    assertThat(Main.run("unknown")).isEqualTo(2);
    assertThat(Main.run("load")).isEqualTo(2);
    assertThat(Main.run("deployment", "--deployment", "other", "--run-folder", folder.toString()))
        .isEqualTo(2);
  }

  @Test
  void namesAreUnique() {
    assertThat(Main.commands().stream().map(BenchCommand::name).toList()).containsNoDuplicates();
  }

  @Test
  void writesADeployment() {
    String target = folder.resolve("run").toString();

    assertThat(Main.run("deployment", "--deployment", "softwarehouse", "--run-folder", target))
        .isEqualTo(0);
    assertThat(Files.exists(folder.resolve("run/control-3.json"))).isTrue();
    assertThat(Main.run("soak-check", "--run-folder", target)).isEqualTo(1);
  }
}
