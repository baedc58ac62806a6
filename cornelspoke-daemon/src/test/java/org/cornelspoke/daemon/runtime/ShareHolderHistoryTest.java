package org.cornelspoke.daemon.runtime;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a restarted leader that forgets holders of shares: a control VM or daemon that was
 * removed shortly before, and shares of a former process with longer leases.
 */
final class ShareHolderHistoryTest {

  private static final long QUIET_NANOS = 5_000_000_000L;
  private static final long DAEMON_LEASE_NANOS = 2_000_000_000L;
  private static final long SECOND = 1_000_000_000L;

  @TempDir Path folder;
  private ShareHolderHistory history;

  @BeforeEach
  void open() throws IOException {
    history = newHistory();
    history.open(0);
  }

  @AfterEach
  void close() throws InterruptedException {
    history.close();
    history.awaitClosed();
  }

  @Test
  void longestLeaseIsAssumedWithoutAFile() {
    assertThat(history.formerLeaseNanos()).isEqualTo(QUIET_NANOS);
  }

  @Test
  void leaseOfTheFormerProcessIsReadAfterARestart() throws IOException {
    ShareHolderHistory restarted = newHistory();
    restarted.open(0);
    restarted.close();

    assertThat(restarted.formerLeaseNanos()).isEqualTo(DAEMON_LEASE_NANOS);
  }

  @Test
  void removedNamesAreKeptForAQuietPeriod() {
    history.update(Set.of("vm-1", "vm-2"), Set.of("a", "b"), 2 * SECOND);
    history.update(Set.of("vm-1"), Set.of("b"), 3 * SECOND);

    assertThat(history.relays(3 * SECOND + QUIET_NANOS - 1)).containsExactly("vm-1", "vm-2");
    assertThat(history.daemons(3 * SECOND + QUIET_NANOS - 1)).containsExactly("a", "b");
    assertThat(history.relays(3 * SECOND + QUIET_NANOS)).containsExactly("vm-1");
    assertThat(history.daemons(3 * SECOND + QUIET_NANOS)).containsExactly("b");
  }

  @Test
  void removedNamesAreKeptThroughARestart() throws Exception {
    history.update(Set.of("vm-1", "vm-2"), Set.of("a", "b"), 2 * SECOND);
    history.update(Set.of("vm-1"), Set.of("b"), 4 * SECOND);
    history.close();
    history.awaitClosed();

    ShareHolderHistory restarted = newHistory();
    restarted.open(0);
    restarted.update(Set.of("vm-1"), Set.of("b"), SECOND);
    restarted.close();
    restarted.awaitClosed();

    assertThat(restarted.relays(2 * SECOND)).containsExactly("vm-1", "vm-2");
    assertThat(restarted.daemons(2 * SECOND)).containsExactly("a", "b");
    assertThat(restarted.relays(QUIET_NANOS)).containsExactly("vm-1");
  }

  @Test
  void malformedFileIsRejected() throws IOException {
    Files.write(folder.resolve(ShareHolderHistory.FILE_NAME), List.of("daemon-lease-nanos x"));
    ShareHolderHistory restarted = newHistory();

    assertThrows(IOException.class, () -> restarted.open(0));
    restarted.close();
  }

  private ShareHolderHistory newHistory() {
    return new ShareHolderHistory(folder, QUIET_NANOS, DAEMON_LEASE_NANOS);
  }
}
