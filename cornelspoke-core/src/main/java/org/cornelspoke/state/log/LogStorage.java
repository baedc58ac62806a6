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
 * Durable log, term, vote, identity and snapshot of one group member, stored in one folder.
 *
 * <p>Entries are stored in segment files {@code log-N}. Each {@link #append} writes a single record
 * with all its entries and must be followed by a {@link #sync}, so that only the last record of the
 * last segment can be torn. A record whose first index is not greater than the last index of the
 * log replaces the log's suffix from that index on. A conflicting suffix is thereby replaced
 * atomically and without overwriting bytes.
 *
 * <p>After a failed write or sync the state of the files is unknown, and all later calls fail.
 * Opening the folder reads the surviving data back and rewrites the last segment, the snapshot,
 * term and vote, since the files read may exist in the page cache only.
 *
 * <p>Not thread-safe; used by one thread at a time.
 */
public final class LogStorage implements Closeable {

  /** Default maximum data size of recovered entries that are kept in memory. */
  private static final int MAX_RECOVERED_DATA_BYTES = 4 << 10;

  /** At least a block of the file system, and more than the file of term and vote. */
  private static final int PROBE_BYTES = 4 << 10;

  private final Disk disk;
  private final long segmentBytes;
  private LogRecovery recovery;
  private RecoveredLog recovered;
  private final Deque<SegmentInfo> sealedSegments = new ArrayDeque<>();
  private final MemberIdentity identity;
  private Disk.File activeSegment;
  private long activeSegmentNumber;
  private long activeSegmentBytes;
  private long activeSegmentMaxIndex;
  private long lastIndex;
  private boolean hasUnsyncedRecord;
  private boolean failed;

  /** A segment to which no more records are appended, with its highest log index. */
  record SegmentInfo(long number, long maxIndex) {}

  private LogStorage(Disk disk, long segmentBytes, LogRecovery recovery, MemberIdentity identity) {
    this.disk = disk;
    this.segmentBytes = segmentBytes;
    this.recovery = recovery;
    this.identity = identity;
    HardState hardState = recovery.meta() == null ? HardState.INITIAL : recovery.meta().hardState();
    this.recovered =
        new RecoveredLog(
            identity,
            hardState,
            Optional.ofNullable(recovery.snapshot()),
            List.copyOf(recovery.entries()));
    this.lastIndex = recovery.lastIndex();
    this.activeSegmentNumber = recovery.lastSegmentNumber();
  }

  /**
   * Opens a folder and recovers its data. An incomplete last record is truncated.
   *
   * @param segmentBytes size in bytes from which on a new segment is started
   * @param newIdentity supplies the identity if the folder is empty
   * @throws DamagedStorageException if data before the last record is damaged; the folder is not
   *     modified
   * @throws IOException if the folder cannot be read or written
   */
  public static LogStorage open(Disk disk, long segmentBytes, Supplier<MemberIdentity> newIdentity)
      throws IOException {
    return open(disk, segmentBytes, MAX_RECOVERED_DATA_BYTES, newIdentity);
  }

  /**
   * Opens a folder like {@link #open(Disk, long, Supplier)}.
   *
   * @param maxRecoveredDataBytes data size of recovered entries above which the data stays on disk
   */
  public static LogStorage open(
      Disk disk, long segmentBytes, int maxRecoveredDataBytes, Supplier<MemberIdentity> newIdentity)
      throws IOException {
    Assert.isTrue(segmentBytes > 0, "segmentBytes must be positive");
    Assert.isTrue(maxRecoveredDataBytes >= 0, "maxRecoveredDataBytes must not be negative");
    LogRecovery recovery = read(disk, maxRecoveredDataBytes);
    MemberIdentity identity =
        recovery.meta() == null ? newIdentity.get() : recovery.meta().identity();
    LogStorage storage = new LogStorage(disk, segmentBytes, recovery, identity);
    storage.rewrite();
    return storage;
  }

  /**
   * Reads the folder of a member again, after a failure in the same process. {@link #restore} must
   * be called before anything is written.
   *
   * @param identity identity of the member
   * @throws DamagedStorageException if the folder has another identity or none, or if data before
   *     the last record is damaged; the folder is not modified
   * @throws IOException if the folder cannot be read or written
   */
  public static LogStorage reopen(Disk disk, long segmentBytes, MemberIdentity identity)
      throws IOException {
    Assert.isTrue(segmentBytes > 0, "segmentBytes must be positive");
    LogRecovery recovery = read(disk, MAX_RECOVERED_DATA_BYTES);
    if (recovery.meta() == null || !recovery.meta().identity().equals(identity)) {
      throw new DamagedStorageException(FileNames.META, 0, "the identity " + identity + " is gone");
    }
    return new LogStorage(disk, segmentBytes, recovery, identity);
  }

  private static LogRecovery read(Disk disk, int maxRecoveredDataBytes) throws IOException {
    FileNames.deleteTemporary(disk);
    probe(disk);
    LogRecovery recovery = new LogRecovery(disk, maxRecoveredDataBytes);
    recovery.read();
    return recovery;
  }

  /** Fails on a disk without room before a large log is read, since attempts may go on for long. */
  private static void probe(Disk disk) throws IOException {
    try {
      try (Disk.File file = disk.create(FileNames.PROBE)) {
        file.append(new byte[PROBE_BYTES]);
        file.sync();
      }
      disk.delete(FileNames.PROBE);
    } catch (IOException e) {
      deleteAfterFailure(disk, FileNames.PROBE, e);
      throw e;
    }
  }

  /**
   * Makes the data that was read durable, unless that was done when the folder was opened.
   *
   * @param expected what was reported as durable before
   * @throws DamagedStorageException if the folder has lost some of it; the folder is not modified
   * @throws IOException if the folder cannot be written
   */
  public void restore(DurableState expected) throws IOException {
    expected.checkHeldBy(DurableState.of(recovered()));
    if (recovery != null) {
      rewrite();
    }
  }

  private void rewrite() throws IOException {
    LogRecovery source = recovery;
    recovery = null;
    runUnlessFailed(
        () -> {
          rewriteMetaAndSnapshot(recovered.hardState(), source.snapshot());
          if (source.logDiscarded()) {
            deleteSegmentsFromLast(source.segmentNumbers());
            openSegment(activeSegmentNumber + 1);
          } else if (source.segmentNumbers().isEmpty()) {
            openSegment(1);
          } else {
            sealedSegments.addAll(source.sealedSegments());
            rewriteLastSegment(source);
          }
        });
  }

  /**
   * Returns the data that the folder contained when it was opened.
   *
   * @throws IllegalStateException if a snapshot has replaced it
   */
  public RecoveredLog recovered() {
    if (recovered == null) {
      throw new IllegalStateException("a snapshot has replaced the recovered data");
    }
    return recovered;
  }

  /** Makes term and vote durable. */
  public void saveHardState(HardState hardState) throws IOException {
    runUnlessFailed(() -> replaceMeta(hardState));
  }

  /**
   * Appends entries without making them durable. If the index of the first entry is not greater
   * than the last index of the log, the log's suffix from that index on is replaced. {@link #sync}
   * must be called before the next append.
   *
   * @param entries consecutive entries, at least one
   */
  public void append(List<LogEntry> entries) throws IOException {
    Assert.isTrue(!entries.isEmpty(), "entries must not be empty");
    Assert.isTrue(!hasUnsyncedRecord, "the previous record must be synced first");
    Assert.isTrue(
        entries.get(0).index() <= lastIndex + 1,
        "entry " + entries.get(0).index() + " must not leave a gap after " + lastIndex);
    runUnlessFailed(
        () -> {
          if (activeSegmentMaxIndex > 0 && activeSegmentBytes >= segmentBytes) {
            sealedSegments.add(new SegmentInfo(activeSegmentNumber, activeSegmentMaxIndex));
            activeSegment.close();
            openSegment(activeSegmentNumber + 1);
          }
          byte[] record =
              RecordFormat.encode(
                  activeSegmentNumber, activeSegmentBytes, RecordPayloads.packEntries(entries));
          hasUnsyncedRecord = true;
          activeSegment.append(record);
          activeSegmentBytes += record.length;
          lastIndex = entries.get(entries.size() - 1).index();
          activeSegmentMaxIndex = Math.max(activeSegmentMaxIndex, lastIndex);
        });
  }

  /** Makes the appended entries durable. */
  public void sync() throws IOException {
    runUnlessFailed(
        () -> {
          activeSegment.sync();
          hasUnsyncedRecord = false;
        });
  }

  /**
   * Makes a snapshot of this member's state durable and deletes older snapshots and the segments
   * that the snapshot covers. Entries after the snapshot are retained.
   */
  public void saveSnapshot(Snapshot snapshot) throws IOException {
    runUnlessFailed(
        () -> {
          writeSnapshot(snapshot);
          deleteSegmentsCoveredBySnapshot(snapshot.index());
        });
  }

  /** Makes a snapshot received from the leader durable and deletes all entries. */
  public void installSnapshot(Snapshot snapshot) throws IOException {
    runUnlessFailed(
        () -> {
          writeSnapshot(snapshot);
          activeSegment.close();
          List<Long> segmentNumbers = FileNames.segmentNumbers(disk.list());
          deleteSegmentsFromLast(segmentNumbers);
          sealedSegments.clear();
          lastIndex = snapshot.index();
          hasUnsyncedRecord = false;
          openSegment(activeSegmentNumber + 1);
        });
  }

  @Override
  public void close() throws IOException {
    failed = true;
    if (activeSegment != null) {
      activeSegment.close();
    }
  }

  private void writeSnapshot(Snapshot snapshot) throws IOException {
    recovered = null;
    replaceSnapshot(snapshot);
    String name = FileNames.snapshot(snapshot.index());
    for (String existing : disk.list()) {
      if (FileNames.isSnapshot(existing) && existing.compareTo(name) < 0) {
        disk.delete(existing);
      }
    }
    disk.syncFolder();
  }

  private void replaceMeta(HardState hardState) throws IOException {
    byte[] payload = RecordPayloads.packMeta(new RecordPayloads.Meta(identity, hardState));
    replaceFile(FileNames.META, RecordFormat.encode(0, 0, payload));
  }

  private void replaceSnapshot(Snapshot snapshot) throws IOException {
    replaceFile(
        FileNames.snapshot(snapshot.index()),
        RecordFormat.encode(snapshot.index(), 0, RecordPayloads.packSnapshot(snapshot)));
  }

  /** Syncs the folder after each deletion so that a crash cannot leave a gap between segments. */
  private void deleteSegmentsCoveredBySnapshot(long index) throws IOException {
    while (!sealedSegments.isEmpty() && sealedSegments.peek().maxIndex() <= index) {
      disk.delete(FileNames.segment(sealedSegments.remove().number()));
      disk.syncFolder();
    }
  }

  /** A crash between deletions leaves a prefix of the segments, which the next start discards. */
  private void deleteSegmentsFromLast(List<Long> segmentNumbers) throws IOException {
    for (int i = segmentNumbers.size() - 1; i >= 0; i--) {
      disk.delete(FileNames.segment(segmentNumbers.get(i)));
      disk.syncFolder();
    }
  }

  /**
   * Writes term, vote and snapshot to new files, before anything that the snapshot covers is
   * deleted. After a failed sync of the folder the files read may have their names in the page
   * cache only.
   */
  private void rewriteMetaAndSnapshot(HardState hardState, Snapshot snapshot) throws IOException {
    replaceMeta(hardState);
    if (snapshot != null) {
      replaceSnapshot(snapshot);
    }
  }

  /**
   * Writes the intact prefix of the last segment to a new file. The bytes read may exist in the
   * page cache only, because the process stopped before a sync or a sync failed; a later sync of
   * the same file would not write them again.
   */
  private void rewriteLastSegment(LogRecovery recovery) throws IOException {
    byte[] content = recovery.lastSegmentContent();
    if (content.length == 0) {
      byte[] header = RecordPayloads.packSegmentHeader(activeSegmentNumber);
      content = RecordFormat.encode(activeSegmentNumber, 0, header);
    }
    activeSegment = writeAndRename(FileNames.segment(activeSegmentNumber), content);
    activeSegmentBytes = content.length;
    activeSegmentMaxIndex = recovery.lastSegmentMaxIndex();
  }

  private void openSegment(long number) throws IOException {
    byte[] header = RecordFormat.encode(number, 0, RecordPayloads.packSegmentHeader(number));
    activeSegment = writeAndRename(FileNames.segment(number), header);
    activeSegmentNumber = number;
    activeSegmentBytes = header.length;
    activeSegmentMaxIndex = 0;
  }

  private void replaceFile(String name, byte[] content) throws IOException {
    writeAndRename(name, content).close();
  }

  private Disk.File writeAndRename(String name, byte[] content) throws IOException {
    String temporaryName = name + FileNames.TEMPORARY_SUFFIX;
    Disk.File file = null;
    try {
      file = disk.create(temporaryName);
      file.append(content);
      file.sync();
      disk.rename(temporaryName, name);
      disk.syncFolder();
      return file;
    } catch (IOException e) {
      closeAfterFailure(file, e);
      deleteAfterFailure(disk, temporaryName, e);
      throw e;
    }
  }

  private static void closeAfterFailure(Disk.File file, IOException failure) {
    try {
      if (file != null) {
        file.close();
      }
    } catch (IOException e) {
      failure.addSuppressed(e);
    }
  }

  /** Frees the room of an incomplete file, which a full disk needs for the next attempt. */
  private static void deleteAfterFailure(Disk disk, String name, IOException failure) {
    try {
      if (disk.list().contains(name)) {
        disk.delete(name);
      }
    } catch (IOException e) {
      failure.addSuppressed(e);
    }
  }

  private interface DiskAction {
    void run() throws IOException;
  }

  private void runUnlessFailed(DiskAction action) throws IOException {
    if (recovery != null) {
      throw new IllegalStateException("the log storage is not restored yet");
    }
    if (failed) {
      throw new IOException("log storage is closed or has failed");
    }
    boolean succeeded = false;
    try {
      action.run();
      succeeded = true;
    } finally {
      failed = !succeeded;
    }
  }
}
