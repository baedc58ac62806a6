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
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;
import org.cornelspoke.model.VmId;
import org.cornelspoke.util.Assert;

/**
 * The control VMs whose relays may hold or have issued rate shares, and the longest daemon lease
 * that earlier processes of this VM issued.
 *
 * <p>Both survive a restart in a small file. A VM that left the control group while it was cut off
 * may hold shares for a quiet period, so it is kept for that long, also through a restart of all
 * other VMs. Without the file, for example on an empty replacement VM or after an upgrade from a
 * build without it, the longest possible lease is assumed.
 *
 * <p>The file is written only when the group changes, and on a thread of its own, since a slow disk
 * must not delay the control thread. A stored VM that has left costs time only, so a failed write
 * is logged and not repeated.
 *
 * <p>Must be used on the control thread only. Times are monotonic nanoseconds of this process.
 */
final class RelayHistory {

  private static final System.Logger LOGGER = System.getLogger(RelayHistory.class.getName());

  static final String FILE_NAME = "rate-shares";

  private static final String TEMPORARY_FILE_NAME = FILE_NAME + ".tmp";

  private final Path folder;
  private final long quietPeriodNanos;
  private final long daemonLeaseNanos;
  private final ExecutorService writer =
      Executors.newSingleThreadExecutor(task -> new Thread(task, "relay-history"));
  private final Map<VmId, Long> formerVmEndNanos = new HashMap<>();
  private Set<VmId> currentVms = Set.of();
  private Set<VmId> storedVms = Set.of();
  private long formerLeaseNanos;

  /**
   * Creates an empty history.
   *
   * @param quietPeriodNanos time after which no share of an earlier leader is held
   * @param daemonLeaseNanos longest lease that this process issues to a daemon
   */
  RelayHistory(Path folder, long quietPeriodNanos, long daemonLeaseNanos) {
    this.folder = Assert.notNull(folder, "folder");
    this.quietPeriodNanos = quietPeriodNanos;
    this.daemonLeaseNanos = daemonLeaseNanos;
    this.formerLeaseNanos = quietPeriodNanos;
  }

  /**
   * Reads the file of the former process and writes that of this one. Must be called while the data
   * folder is locked, so that the former process has ended.
   */
  void open(long nowNanos) throws IOException {
    readFile(nowNanos);
    storedVms = vms(nowNanos);
    writeFile(storedVms);
  }

  /** Stops the thread that writes the file. */
  void close() {
    writer.shutdown();
  }

  /** Returns the longest lease of a share that a former process of this VM has issued. */
  long formerLeaseNanos() {
    return formerLeaseNanos;
  }

  /** Sets the members of the control group. */
  void setMembers(Set<VmId> members, long nowNanos) {
    for (VmId vm : currentVms) {
      if (!members.contains(vm)) {
        formerVmEndNanos.put(vm, nowNanos + quietPeriodNanos);
      }
    }
    currentVms = Set.copyOf(members);
  }

  /** Returns the VMs whose relays may hold or have issued shares. */
  Set<VmId> vms(long nowNanos) {
    formerVmEndNanos.values().removeIf(endNanos -> nowNanos - endNanos >= 0);
    Set<VmId> vms = new HashSet<>(currentVms);
    vms.addAll(formerVmEndNanos.keySet());
    return vms;
  }

  /** Starts to write the file if the VMs have changed since it was written. */
  void store(long nowNanos) {
    Set<VmId> vms = vms(nowNanos);
    if (!vms.equals(storedVms)) {
      storedVms = vms;
      writer.execute(
          () -> {
            try {
              writeFile(vms);
            } catch (IOException e) {
              LOGGER.log(Level.WARNING, "can't write " + folder.resolve(FILE_NAME), e);
            }
          });
    }
  }

  private void readFile(long nowNanos) throws IOException {
    List<String> lines;
    try {
      lines = Files.readAllLines(folder.resolve(FILE_NAME), StandardCharsets.UTF_8);
    } catch (NoSuchFileException e) {
      return;
    }
    try {
      formerLeaseNanos = Math.min(quietPeriodNanos, Long.parseLong(lines.get(0)));
      lines.stream()
          .skip(1)
          .forEach(line -> formerVmEndNanos.put(new VmId(line), nowNanos + quietPeriodNanos));
    } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
      throw new IOException("malformed file " + folder.resolve(FILE_NAME), e);
    }
  }

  private void writeFile(Set<VmId> vms) throws IOException {
    String content =
        daemonLeaseNanos
            + "\n"
            + vms.stream().map(vm -> vm.value() + "\n").sorted().collect(Collectors.joining());
    Path temporary = folder.resolve(TEMPORARY_FILE_NAME);
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
  }
}
