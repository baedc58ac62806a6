package org.cornelspoke.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.cornelspoke.daemon.runtime.DaemonFactory;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class MainTest {

  private static final String SETTINGS =
      """
      {"role": "control", "vmId": "control-1", "dataCentre": "pampanga",
       "relayAddress": "127.0.0.1:9001", "peerAddress": "127.0.0.1:9002",
       "adminAddress": "127.0.0.1:9003", "dataFolder": "data", "peers": []}
      """;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private int started;
  @TempDir private Path folder;
  private Path file;

  @BeforeEach
  void writeSettings() throws Exception {
    file = Files.writeString(folder.resolve("settings.json"), SETTINGS);
  }

  /** Guards against a settings check that starts the daemon. */
  @Test
  void checksWithoutStarting() {
    assertThat(run("--settings", file.toString(), "--check")).isEqualTo(0);
    assertThat(started).isEqualTo(0);
  }

  /** Guards against usage or settings errors with a wrong exit code or a multi-line message. */
  @Test
  void exitsWithTwoOnUsageErrors() throws Exception {
    Files.writeString(file, SETTINGS.replace("9003", "0"));
    assertThat(run("--settings", file.toString())).isEqualTo(2);
    assertThat(errors())
        .isEqualTo("cornelspoked: adminAddress: port must be between 1 and 65535: 0\n");
    assertThat(run()).isEqualTo(2);
    assertThat(run("--unknown")).isEqualTo(2);
    assertThat(run("--settings", folder.resolve("none").toString())).isEqualTo(2);
    assertThat(errors().lines().count()).isEqualTo(4);
    assertThat(started).isEqualTo(0);
  }

  /** Guards against help or version options that require a settings file. */
  @Test
  void printsHelpAndVersion() {
    assertThat(run("--help")).isEqualTo(0);
    assertThat(run("--version")).isEqualTo(0);
    assertThat(out.toString(StandardCharsets.UTF_8)).contains("--settings");
  }

  /** Guards against a failed start that exits with the code of success or of a usage error. */
  @Test
  void startsDaemonAndReportsFailure() {
    assertThat(run("--settings", file.toString())).isEqualTo(1);
    assertThat(started).isEqualTo(1);
    assertThat(errors()).contains("start failed: address in use");
  }

  /** Guards against a supervisor that takes a failed daemon for one that was stopped. */
  @Test
  void daemonThatFailsEndsTheProcessWithACodeOfItsOwn() {
    Main main = new Main(settings -> new FailedDaemon(), System.out, System.err);
    assertThat(main.run("--settings", file.toString())).isEqualTo(3);
  }

  private static final class FailedDaemon implements DaemonFactory.Daemon {

    @Override
    public void start() {}

    @Override
    public void awaitStop() {}

    @Override
    public boolean hasFailed() {
      return true;
    }

    @Override
    public void stop() {}
  }

  private int run(String... args) {
    DaemonFactory factory =
        settings -> {
          started++;
          throw new IllegalStateException("address in use");
        };
    return new Main(
            factory,
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8))
        .run(args);
  }

  private String errors() {
    return err.toString(StandardCharsets.UTF_8);
  }
}
