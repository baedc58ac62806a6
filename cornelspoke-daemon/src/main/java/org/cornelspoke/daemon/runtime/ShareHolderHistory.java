package org.cornelspoke.daemon.runtime;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.util.Assert;

/**
 * The relays and daemons that may hold rate shares, and the longest daemon lease that earlier
 * processes of this control VM issued.
 *
 * <p>They survive a restart in a small file. A control VM that left the group, or a daemon whose
 * registration was removed, may be cut off and hold shares for a quiet period, so its name is kept
 * for that long, also through a restart of all control VMs. Without the file, for example on an
 * empty replacement VM or after an upgrade from a build without it, the longest possible lease is
 * assumed.
 *
 * <p>The file is written only when a name is added or dropped, at most once a second, and on a
 * thread of its own, since a slow disk must not delay the control thread. A failed write is
 * repeated until it succeeds. A dropped name that is still in the file costs time only; a name that
 * was added and dropped while no write succeeded is forgotten by a restart. The lease in the file
 * is never shorter than one that a process issues.
 *
 * <p>Must be used on the control thread only. Times are monotonic nanoseconds of this process.
 */
final class ShareHolderHistory {

  private static final System.Logger LOGGER = System.getLogger(ShareHolderHistory.class.getName());

  static final String FILE_NAME = "rate-shares";

  private static final String TEMPORARY_FILE_NAME = FILE_NAME + ".tmp";
  private static final String LEASE_PREFIX = "daemon-lease-nanos ";
  private static final String RELAY_PREFIX = "relay ";
  private static final String DAEMON_PREFIX = "daemon ";
  private static final long WRITE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long MIN_WRITE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Path folder;
  private final long daemonLeaseNanos;
  private final RecentNames relays;
  private final RecentNames daemons;
  private final ExecutorService writer =
      Executors.newSingleThreadExecutor(task -> new Thread(task, "share-holder-history"));
  private volatile boolean mustRepeatWrite;
  private volatile boolean lastWriteFailed;
  private List<String> storedLines = List.of();
  private long storedAtNanos;
  private boolean changed;
  private long checkedAtNanos;
  private long formerLeaseNanos;

  /**
   * Creates an empty history.
   *
   * @param quietPeriodNanos time after which no share of an earlier leader is held
   * @param daemonLeaseNanos longest lease that this process issues to a daemon
   */
  ShareHolderHistory(Path folder, long quietPeriodNanos, long daemonLeaseNanos) {
    this.folder = Assert.notNull(folder, "folder");
    this.daemonLeaseNanos = daemonLeaseNanos;
    this.formerLeaseNanos = quietPeriodNanos;
    this.relays = new RecentNames(quietPeriodNanos);
    this.daemons = new RecentNames(quietPeriodNanos);
  }

  /**
   * Reads the file of the former process and writes that of this one. Must be called while the data
   * folder is locked, so that the former process has ended. A failed write is repeated later,
   * unless the file states a shorter lease than this process issues.
   *
   * @throws IOException if the file cannot be read or is malformed, or if a longer lease cannot be
   *     written
   */
  void open(long nowNanos) throws IOException {
    try {
      read(Files.readAllLines(folder.resolve(FILE_NAME), StandardCharsets.UTF_8), nowNanos);
    } catch (NoSuchFileException e) {
      LOGGER.log(Level.INFO, "no record of rate shares of a former process in {0}", folder);
    }
    storedLines = lines(nowNanos);
    storedAtNanos = nowNanos;
    checkedAtNanos = nowNanos;
    if (!writeAndLog(storedLines) && formerLeaseNanos < daemonLeaseNanos) {
      throw new IOException(
          "can't write the longer lease of this process to " + folder.resolve(FILE_NAME));
    }
  }

  /** Stops the thread that writes the file. */
  void close() {
    writer.shutdown();
  }

  /** Waits for the last write after {@link #close}. */
  void awaitClosed() throws InterruptedException {
    writer.awaitTermination(WRITE_TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
  }

  /** Returns the longest lease of a share that a former process of this VM has issued. */
  long formerLeaseNanos() {
    return formerLeaseNanos;
  }

  /** Sets the control VMs in force and the registered daemons. */
  void update(Set<String> currentRelays, Set<String> currentDaemons, long nowNanos) {
    changed |= relays.setCurrent(currentRelays, nowNanos);
    changed |= daemons.setCurrent(currentDaemons, nowNanos);
    // Names are also dropped by time alone.
    boolean checkDue = changed || nowNanos - checkedAtNanos >= MIN_WRITE_INTERVAL_NANOS;
    if (checkDue && nowNanos - storedAtNanos >= MIN_WRITE_INTERVAL_NANOS) {
      changed = false;
      checkedAtNanos = nowNanos;
      store(lines(nowNanos), nowNanos);
    }
  }

  /** Returns the relays that may hold or have issued shares. */
  Set<String> relays(long nowNanos) {
    return relays.recent(nowNanos);
  }

  /** Returns the daemons that may hold shares. */
  Set<String> daemons(long nowNanos) {
    return daemons.recent(nowNanos);
  }

  private void store(List<String> lines, long nowNanos) {
    if (lines.equals(storedLines) && !mustRepeatWrite) {
      return;
    }
    // Cleared here so that a write that hangs is not queued again.
    mustRepeatWrite = false;
    storedLines = lines;
    storedAtNanos = nowNanos;
    writer.execute(() -> writeAndLog(lines));
  }

  /** Returns false if the write failed; logs changes between success and failure only. */
  private boolean writeAndLog(List<String> lines) {
    boolean succeeded = false;
    try {
      write(lines);
      succeeded = true;
      if (lastWriteFailed) {
        LOGGER.log(Level.INFO, "{0} is written again", folder.resolve(FILE_NAME));
      }
    } catch (IOException e) {
      if (!lastWriteFailed) {
        LOGGER.log(Level.WARNING, "can't write " + folder.resolve(FILE_NAME) + ", is repeated", e);
      }
    } finally {
      lastWriteFailed = !succeeded;
      mustRepeatWrite = !succeeded;
    }
    return succeeded;
  }

  private List<String> lines(long nowNanos) {
    List<String> lines = new ArrayList<>();
    lines.add(LEASE_PREFIX + daemonLeaseNanos);
    relays.recent(nowNanos).stream().sorted().forEach(name -> lines.add(RELAY_PREFIX + name));
    daemons.recent(nowNanos).stream().sorted().forEach(name -> lines.add(DAEMON_PREFIX + name));
    return lines;
  }

  private void read(List<String> lines, long nowNanos) throws IOException {
    List<String> formerRelays = new ArrayList<>();
    List<String> formerDaemons = new ArrayList<>();
    for (String line : lines) {
      if (line.startsWith(LEASE_PREFIX)) {
        formerLeaseNanos =
            Math.min(formerLeaseNanos, parseNanos(line.substring(LEASE_PREFIX.length())));
      } else if (line.startsWith(RELAY_PREFIX)) {
        formerRelays.add(line.substring(RELAY_PREFIX.length()));
      } else if (line.startsWith(DAEMON_PREFIX)) {
        formerDaemons.add(line.substring(DAEMON_PREFIX.length()));
      }
    }
    relays.retain(formerRelays, nowNanos);
    daemons.retain(formerDaemons, nowNanos);
  }

  private long parseNanos(String text) throws IOException {
    try {
      return Math.max(0, Long.parseLong(text));
    } catch (NumberFormatException e) {
      throw new IOException("malformed file " + folder.resolve(FILE_NAME), e);
    }
  }

  private void write(List<String> lines) throws IOException {
    Path temporary = folder.resolve(TEMPORARY_FILE_NAME);
    String content = String.join("\n", lines) + "\n";
    try (FileChannel channel =
        FileChannel.open(
            temporary,
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
      ByteBuffer bytes = ByteBuffer.wrap(content.getBytes(StandardCharsets.UTF_8));
      while (bytes.hasRemaining()) {
        channel.write(bytes);
      }
      channel.force(true);
    }
    Files.move(temporary, folder.resolve(FILE_NAME), StandardCopyOption.ATOMIC_MOVE);
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }
}
