package org.cornelspoke.state.log;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.cornelspoke.util.Assert;

/**
 * Durable log, term, vote, identity and snapshot of one group member, in one folder.
 *
 * <p>Entries are kept in segments {@code log-N}. Each {@link #append} writes one record that holds
 * all its entries, and is followed by one {@link #sync}, so only the last record of the last
 * segment can ever be torn. A record whose first index is not after the last one replaces the
 * suffix from that index; a conflicting suffix is therefore replaced atomically and without
 * overwriting bytes.
 *
 * <p>After any failed write or sync the state of the files is unknown, and every later call fails;
 * opening the folder again reads back and rewrites what survived.
 *
 * <p>Used by one thread at a time.
 */
public final class LogStorage implements Closeable {

  private final Disk disk;
  private final long segmentBytes;
  private final RecoveredLog recovered;
  private final Deque<SegmentInfo> sealed = new ArrayDeque<>();
  private final MemberIdentity identity;
  private Disk.File file;
  private long fileNumber;
  private long fileBytes;
  private long fileMaxIndex;
  private long lastIndex;
  private boolean unsyncedRecord;
  private boolean failed;

  /** A segment that gets no more records, and the highest index in it. */
  record SegmentInfo(long number, long maxIndex) {}

  private LogStorage(Disk disk, long segmentBytes, Supplier<MemberIdentity> newIdentity)
      throws IOException {
    this.disk = disk;
    this.segmentBytes = segmentBytes;
    LogRecovery recovery = new LogRecovery(disk);
    recovery.read();
    FileNames.deleteTemporary(disk);
    if (recovery.meta() == null) {
      this.identity = newIdentity.get();
      saveHardState(HardState.INITIAL);
    } else {
      this.identity = recovery.meta().identity();
    }
    HardState hardState = recovery.meta() == null ? HardState.INITIAL : recovery.meta().hardState();
    this.recovered =
        new RecoveredLog(
            identity,
            hardState,
            Optional.ofNullable(recovery.snapshot()),
            List.copyOf(recovery.entries()));
    this.lastIndex = recovery.lastIndex();
    this.fileNumber = recovery.lastSegmentNumber();
    if (recovery.logDiscarded()) {
      deleteSegmentsFromLast(recovery.segmentNumbers());
      openSegment(fileNumber + 1);
    } else if (recovery.segmentNumbers().isEmpty()) {
      openSegment(1);
    } else {
      sealed.addAll(recovery.sealed());
      rewriteLastSegment(recovery);
    }
  }

  /**
   * Opens a folder and reads it back. An incomplete last record is cut off.
   *
   * @param segmentBytes size after which a new segment is started
   * @param newIdentity called if the folder is empty
   * @throws DamagedStorageException if data before the last record is damaged; nothing is changed
   * @throws IOException if the folder cannot be read or written
   */
  public static LogStorage open(Disk disk, long segmentBytes, Supplier<MemberIdentity> newIdentity)
      throws IOException {
    Assert.isTrue(segmentBytes > 0, "segmentBytes must be positive");
    return new LogStorage(disk, segmentBytes, newIdentity);
  }

  /** Returns what the folder held when it was opened. */
  public RecoveredLog recovered() {
    return recovered;
  }

  /** Makes term and vote durable. */
  public void saveHardState(HardState hardState) throws IOException {
    guarded(
        () -> {
          byte[] payload = StoredFormat.packMeta(new StoredFormat.Meta(identity, hardState));
          replaceFile(FileNames.META, RecordFormat.encode(0, 0, payload));
        });
  }

  /**
   * Writes entries without making them durable. If the first index is not after the last one, the
   * suffix from the first index on is replaced. The next call must be {@link #sync}.
   *
   * @param entries consecutive entries, at least one
   */
  public void append(List<LogEntry> entries) throws IOException {
    Assert.isTrue(!entries.isEmpty(), "entries must not be empty");
    Assert.isTrue(!unsyncedRecord, "the previous record must be synced first");
    Assert.isTrue(
        entries.get(0).index() <= lastIndex + 1,
        "entry " + entries.get(0).index() + " must not leave a gap after " + lastIndex);
    guarded(
        () -> {
          if (fileMaxIndex > 0 && fileBytes >= segmentBytes) {
            sealed.add(new SegmentInfo(fileNumber, fileMaxIndex));
            file.close();
            openSegment(fileNumber + 1);
          }
          byte[] record =
              RecordFormat.encode(fileNumber, fileBytes, StoredFormat.packEntries(entries));
          unsyncedRecord = true;
          file.append(record);
          fileBytes += record.length;
          lastIndex = entries.get(entries.size() - 1).index();
          fileMaxIndex = Math.max(fileMaxIndex, lastIndex);
        });
  }

  /** Makes the appended entries durable. */
  public void sync() throws IOException {
    guarded(
        () -> {
          file.sync();
          unsyncedRecord = false;
        });
  }

  /**
   * Makes a snapshot of this member's own state durable and removes the snapshots before it and the
   * segments that it covers. Entries after the snapshot are kept.
   */
  public void saveSnapshot(Snapshot snapshot) throws IOException {
    guarded(
        () -> {
          writeSnapshot(snapshot);
          removePrefix(snapshot.index());
        });
  }

  /** Makes a snapshot that was received from the leader durable and removes all entries. */
  public void installSnapshot(Snapshot snapshot) throws IOException {
    guarded(
        () -> {
          writeSnapshot(snapshot);
          file.close();
          List<Long> numbers = FileNames.segmentNumbers(disk.list());
          deleteSegmentsFromLast(numbers);
          sealed.clear();
          lastIndex = snapshot.index();
          unsyncedRecord = false;
          openSegment(fileNumber + 1);
        });
  }

  @Override
  public void close() throws IOException {
    failed = true;
    if (file != null) {
      file.close();
    }
  }

  private void writeSnapshot(Snapshot snapshot) throws IOException {
    String name = FileNames.snapshot(snapshot.index());
    replaceFile(
        name, RecordFormat.encode(snapshot.index(), 0, StoredFormat.packSnapshot(snapshot)));
    for (String other : disk.list()) {
      if (FileNames.isSnapshot(other) && other.compareTo(name) < 0) {
        disk.delete(other);
      }
    }
    disk.syncFolder();
  }

  /** The folder is synced after each removal, so that no gap between segments can appear. */
  private void removePrefix(long index) throws IOException {
    while (!sealed.isEmpty() && sealed.peek().maxIndex() <= index) {
      disk.delete(FileNames.segment(sealed.remove().number()));
      disk.syncFolder();
    }
  }

  /** A crash in between leaves a prefix of the segments, which the next start discards again. */
  private void deleteSegmentsFromLast(List<Long> numbers) throws IOException {
    for (int i = numbers.size() - 1; i >= 0; i--) {
      disk.delete(FileNames.segment(numbers.get(i)));
      disk.syncFolder();
    }
  }

  /**
   * Writes the intact part of the last segment to a new file. The bytes that were read may be in
   * the page cache only, because the process stopped before a sync or because a sync failed, and a
   * later sync of the same file would not write them again.
   */
  private void rewriteLastSegment(LogRecovery recovery) throws IOException {
    byte[] content = recovery.lastSegmentContent();
    if (content.length == 0) {
      byte[] header = StoredFormat.packSegmentHeader(fileNumber);
      content = RecordFormat.encode(fileNumber, 0, header);
    }
    file = writeAndRename(FileNames.segment(fileNumber), content);
    fileBytes = content.length;
    fileMaxIndex = recovery.lastSegmentMaxIndex();
  }

  private void openSegment(long number) throws IOException {
    byte[] header = RecordFormat.encode(number, 0, StoredFormat.packSegmentHeader(number));
    file = writeAndRename(FileNames.segment(number), header);
    fileNumber = number;
    fileBytes = header.length;
    fileMaxIndex = 0;
  }

  private void replaceFile(String name, byte[] content) throws IOException {
    writeAndRename(name, content).close();
  }

  private Disk.File writeAndRename(String name, byte[] content) throws IOException {
    String temporary = name + FileNames.TEMPORARY_SUFFIX;
    Disk.File target = disk.create(temporary);
    target.append(content);
    target.sync();
    disk.rename(temporary, name);
    disk.syncFolder();
    return target;
  }

  private interface DiskAction {
    void run() throws IOException;
  }

  private void guarded(DiskAction action) throws IOException {
    if (failed) {
      throw new IOException("log storage is closed or has failed before");
    }
    boolean done = false;
    try {
      action.run();
      done = true;
    } finally {
      failed = !done;
    }
  }
}
