package org.cornelspoke.daemon.runtime;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.slf4j.LoggerFactory;

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

  /** Guards against a control VM that does not start while its disk refuses writes for a while. */
  @Test
  void refusedWriteAtTheStartIsRepeatedWithoutAChange() throws Exception {
    Path file = folder.resolve(ShareHolderHistory.FILE_NAME);
    Files.delete(file);
    Path obstacle = refuseWrites();
    ShareHolderHistory restarted = newHistory();
    restarted.open(0);
    assertThat(restarted.formerLeaseNanos()).isEqualTo(QUIET_NANOS);
    allowWrites(obstacle);
    restarted.update(Set.of(), Set.of(), SECOND);
    restarted.close();
    restarted.awaitClosed();

    assertThat(Files.readAllLines(file)).containsExactly("daemon-lease-nanos 2000000000");
  }

  /** Guards against a holder that stays out of the file because no other change follows. */
  @Test
  void failedWriteIsRepeatedWithoutAChangeAndLoggedOnce() throws Exception {
    BlockingQueue<Level> logged = new LinkedBlockingQueue<>();
    Logger logger = (Logger) LoggerFactory.getLogger(ShareHolderHistory.class);
    LevelAppender appender = new LevelAppender(logged);
    appender.start();
    logger.setLevel(Level.INFO);
    logger.addAppender(appender);
    try {
      Path obstacle = refuseWrites();
      history.update(Set.of("vm-1"), Set.of("a"), 2 * SECOND);
      assertThat(logged.poll(30, TimeUnit.SECONDS)).isEqualTo(Level.WARN);
      long nowNanos = 3 * SECOND;
      for (int i = 0; i < 3; i++) {
        history.update(Set.of("vm-1"), Set.of("a"), nowNanos);
        nowNanos += SECOND;
      }
      allowWrites(obstacle);
      for (int i = 0; i < 30_000 && logged.isEmpty(); i++) {
        history.update(Set.of("vm-1"), Set.of("a"), nowNanos);
        nowNanos += SECOND;
        Thread.sleep(1);
      }
    } finally {
      logger.detachAppender(appender);
      logger.setLevel(null);
    }
    assertThat(logged).containsExactly(Level.INFO);
    assertThat(Files.readAllLines(folder.resolve(ShareHolderHistory.FILE_NAME)))
        .containsAtLeast("relay vm-1", "daemon a");
  }

  /** Guards against shares that outlive the lease which the next process reads from the file. */
  @Test
  void longerLeaseThatCannotBeWrittenEndsTheStart() throws Exception {
    refuseWrites();
    ShareHolderHistory restarted =
        new ShareHolderHistory(folder, QUIET_NANOS, DAEMON_LEASE_NANOS + 1);

    assertThrows(IOException.class, () -> restarted.open(0));
    restarted.close();
  }

  private Path refuseWrites() throws IOException {
    return Files.createDirectory(folder.resolve(ShareHolderHistory.FILE_NAME + ".tmp"));
  }

  private static void allowWrites(Path obstacle) throws IOException {
    Files.delete(obstacle);
  }

  private static final class LevelAppender extends AppenderBase<ILoggingEvent> {
    private final BlockingQueue<Level> levels;

    LevelAppender(BlockingQueue<Level> levels) {
      this.levels = levels;
    }

    @Override
    protected void append(ILoggingEvent event) {
      levels.add(event.getLevel());
    }
  }

  private ShareHolderHistory newHistory() {
    return new ShareHolderHistory(folder, QUIET_NANOS, DAEMON_LEASE_NANOS);
  }
}
