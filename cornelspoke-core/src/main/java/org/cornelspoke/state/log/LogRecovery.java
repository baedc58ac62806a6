package org.cornelspoke.state.log;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Reads a data folder without modifying it and determines which data is intact. Only small entries
 * are kept in memory, because the log may be larger than the heap.
 */
final class LogRecovery {

  private final Disk disk;
  private final int maxDataBytesInMemory;
  private final List<LogEntry> entries = new ArrayList<>();
  private final List<LogStorage.SegmentInfo> sealedSegments = new ArrayList<>();
  private List<Long> segmentNumbers = List.of();
  private RecordPayloads.Meta meta;
  private Snapshot snapshot;
  private byte[] lastSegmentContent = new byte[0];
  private long lastSegmentMaxIndex;
  private boolean logDiscarded;

  /**
   * Creates a recovery that has not read anything yet.
   *
   * @param maxDataBytesInMemory data size of entries above which the data stays on disk
   */
  LogRecovery(Disk disk, int maxDataBytesInMemory) {
    this.disk = disk;
    this.maxDataBytesInMemory = maxDataBytesInMemory;
  }

  void read() throws IOException {
    List<String> names = disk.list();
    segmentNumbers = FileNames.segmentNumbers(names);
    readMeta(names);
    readSnapshot(names);
    readSegments();
    discardEntriesCoveredBySnapshot();
  }

  RecordPayloads.Meta meta() {
    return meta;
  }

  Snapshot snapshot() {
    return snapshot;
  }

  List<LogEntry> entries() {
    return entries;
  }

  List<Long> segmentNumbers() {
    return segmentNumbers;
  }

  List<LogStorage.SegmentInfo> sealedSegments() {
    return sealedSegments;
  }

  byte[] lastSegmentContent() {
    return lastSegmentContent;
  }

  long lastSegmentMaxIndex() {
    return lastSegmentMaxIndex;
  }

  long lastSegmentNumber() {
    return segmentNumbers.isEmpty() ? 0 : segmentNumbers.get(segmentNumbers.size() - 1);
  }

  /** Returns true if the entries do not continue the snapshot and all segments must be deleted. */
  boolean logDiscarded() {
    return logDiscarded;
  }

  long lastIndex() {
    if (!entries.isEmpty()) {
      return entries.get(entries.size() - 1).index();
    }
    return snapshot == null ? 0 : snapshot.index();
  }

  private void readMeta(List<String> names) throws IOException {
    if (!names.contains(FileNames.META)) {
      if (!segmentNumbers.isEmpty() || names.stream().anyMatch(FileNames::isSnapshot)) {
        throw new DamagedStorageException(FileNames.META, 0, "the file is missing");
      }
      return;
    }
    byte[] payload = RecordFormat.decode(0, disk.read(FileNames.META), 0);
    if (payload == null) {
      throw new DamagedStorageException(FileNames.META, 0, "checksum does not match");
    }
    meta = RecordPayloads.unpackMeta(payload);
  }

  private void readSnapshot(List<String> names) throws IOException {
    List<String> snapshots = names.stream().filter(FileNames::isSnapshot).sorted().toList();
    if (snapshots.isEmpty()) {
      return;
    }
    String name = snapshots.get(snapshots.size() - 1);
    byte[] payload = RecordFormat.decode(FileNames.snapshotIndex(name), disk.read(name), 0);
    if (payload == null) {
      throw new DamagedStorageException(name, 0, "checksum does not match");
    }
    snapshot = RecordPayloads.unpackSnapshot(payload);
  }

  private void readSegments() throws IOException {
    for (int i = 0; i < segmentNumbers.size(); i++) {
      long number = segmentNumbers.get(i);
      if (i > 0 && number != segmentNumbers.get(i - 1) + 1) {
        throw new DamagedStorageException(
            FileNames.segment(number), 0, "the segment before it is missing");
      }
      readSegment(number, i == segmentNumbers.size() - 1);
    }
  }

  private void readSegment(long number, boolean isLast) throws IOException {
    String name = FileNames.segment(number);
    byte[] content = disk.read(name);
    int offset = 0;
    long maxIndex = 0;
    while (offset < content.length) {
      byte[] payload = RecordFormat.decode(number, content, offset);
      if (payload == null) {
        if (!isLast || RecordFormat.hasRecordAfter(number, content, offset)) {
          throw new DamagedStorageException(name, offset, "damage before the last record");
        }
        break;
      }
      if (offset == 0) {
        RecordPayloads.checkSegmentHeader(payload, number);
      } else {
        List<LogEntry> recordEntries = unpackEntries(number, offset, payload);
        maxIndex = Math.max(maxIndex, replay(name, offset, recordEntries));
      }
      offset += RecordFormat.HEADER_BYTES + payload.length;
    }
    if (isLast) {
      lastSegmentContent = Arrays.copyOf(content, offset);
      lastSegmentMaxIndex = maxIndex;
    } else {
      sealedSegments.add(new LogStorage.SegmentInfo(number, maxIndex));
    }
  }

  private List<LogEntry> unpackEntries(long segmentNumber, int offset, byte[] payload)
      throws IOException {
    List<LogEntry> unpacked = RecordPayloads.unpackEntries(payload);
    int recordBytes = RecordFormat.HEADER_BYTES + payload.length;
    for (int i = 0; i < unpacked.size(); i++) {
      LogEntry entry = unpacked.get(i);
      // The data of a membership is needed to restore the members.
      if (entry.dataBytes() > maxDataBytesInMemory && entry.kind() == EntryKind.COMMAND) {
        int position = i;
        Disk source = disk;
        unpacked.set(
            i,
            entry.withDataOnDisk(
                () -> readData(source, segmentNumber, offset, recordBytes, position)));
      }
    }
    return unpacked;
  }

  private static byte[] readData(
      Disk disk, long segmentNumber, int offset, int recordBytes, int position) {
    String name = FileNames.segment(segmentNumber);
    try {
      byte[] record = disk.read(name, offset, recordBytes);
      byte[] payload = RecordFormat.decodeAt(segmentNumber, record, offset);
      if (payload == null) {
        throw new DamagedStorageException(name, offset, "checksum does not match");
      }
      return RecordPayloads.unpackEntries(payload).get(position).data();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private long replay(String name, int offset, List<LogEntry> recordEntries) throws IOException {
    long firstIndex = recordEntries.get(0).index();
    long nextIndex = entries.isEmpty() ? firstIndex : entries.get(entries.size() - 1).index() + 1;
    long snapshotIndex = snapshot == null ? 0 : snapshot.index();
    boolean startsAfterGap = firstIndex > nextIndex || entries.isEmpty();
    if (startsAfterGap && firstIndex - 1 > snapshotIndex) {
      throw new DamagedStorageException(
          name, offset, "entries before " + firstIndex + " are missing");
    }
    if (startsAfterGap || firstIndex <= entries.get(0).index()) {
      entries.clear();
    } else if (firstIndex < nextIndex) {
      entries.subList((int) (firstIndex - entries.get(0).index()), entries.size()).clear();
    }
    entries.addAll(recordEntries);
    return recordEntries.get(recordEntries.size() - 1).index();
  }

  private void discardEntriesCoveredBySnapshot() {
    if (snapshot == null || entries.isEmpty()) {
      return;
    }
    long position = snapshot.index() - entries.get(0).index();
    if (position >= entries.size()
        || (position >= 0 && entries.get((int) position).term() != snapshot.term())) {
      entries.clear();
      logDiscarded = true;
    } else if (position >= 0) {
      entries.subList(0, (int) position + 1).clear();
    }
  }
}
