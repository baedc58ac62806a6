package org.cornelspoke.state.log;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LogStorageTest {

  private static final long LARGE_SEGMENT = 1 << 20;
  private static final String FIRST_SEGMENT = "log-0000000000000001";

  private final FakeDisk disk = new FakeDisk(1);
  private int identitySeed;

  /** Guards against a torn last record that prevents startup or loses earlier entries. */
  @Test
  void tornLastRecordIsTruncatedAtEveryByte() throws Exception {
    LogStorage storage = open(LARGE_SEGMENT);
    write(storage, entries(1, 3, 1));
    int before = disk.read(FIRST_SEGMENT).length;
    write(storage, entries(4, 2, 1));
    byte[] intact = disk.read(FIRST_SEGMENT);
    for (int length = before; length <= intact.length; length++) {
      disk.overwrite(FIRST_SEGMENT, Arrays.copyOf(intact, length));
      LogStorage reopened = open(LARGE_SEGMENT);
      int expected = length == intact.length ? 5 : 3;
      assertThat(reopened.recovered().entries()).hasSize(expected);
      write(reopened, entries(expected + 1, 1, 2));
      assertThat(open(LARGE_SEGMENT).recovered().entries()).hasSize(expected + 1);
    }
  }

  /**
   * Guards against startup with silently missing entries, and against modification of a damaged
   * log.
   */
  @Test
  void damageBeforeTheLastRecordStopsTheStartAndChangesNothing() throws Exception {
    LogStorage storage = open(LARGE_SEGMENT);
    write(storage, entries(1, 3, 1));
    int end = disk.read(FIRST_SEGMENT).length;
    write(storage, entries(4, 1, 1));
    byte[] intact = disk.read(FIRST_SEGMENT);
    for (int offset = 0; offset < end; offset++) {
      byte[] damaged = intact.clone();
      damaged[offset] ^= 0x10;
      disk.overwrite(FIRST_SEGMENT, damaged);
      var before = disk.contents();
      DamagedStorageException e =
          assertThrows(DamagedStorageException.class, () -> open(LARGE_SEGMENT));
      assertThat(e).hasMessageThat().contains("start with an empty folder");
      assertThat(e.fileName()).isEqualTo(FIRST_SEGMENT);
      assertThat(disk.contents()).isEqualTo(before);
    }
  }

  /** Guards against damage in an earlier segment that is mistaken for a torn last record. */
  @Test
  void incompleteSegmentBeforeTheLastStopsTheStart() throws Exception {
    LogStorage storage = open(1);
    write(storage, entries(1, 1, 1));
    write(storage, entries(2, 1, 1));
    byte[] first = disk.read(FIRST_SEGMENT);
    disk.overwrite(FIRST_SEGMENT, Arrays.copyOf(first, first.length - 1));
    assertThrows(DamagedStorageException.class, () -> open(1));
    disk.delete(FIRST_SEGMENT);
    assertThrows(DamagedStorageException.class, () -> open(1));
  }

  /** Guards against a lost or damaged vote that would allow a second vote in a term. */
  @Test
  void missingOrDamagedMetaStopsTheStart() throws Exception {
    write(open(LARGE_SEGMENT), entries(1, 1, 1));
    byte[] meta = disk.read("meta");
    meta[meta.length - 1] ^= 1;
    disk.overwrite("meta", meta);
    assertThrows(DamagedStorageException.class, () -> open(LARGE_SEGMENT));
    disk.delete("meta");
    assertThrows(DamagedStorageException.class, () -> open(LARGE_SEGMENT));
  }

  /** Guards against state loss because a damaged snapshot is ignored. */
  @Test
  void damagedSnapshotStopsTheStart() throws Exception {
    LogStorage storage = open(LARGE_SEGMENT);
    write(storage, entries(1, 2, 1));
    storage.saveSnapshot(snapshot(2, 1));
    String name = "snapshot-0000000000000002";
    byte[] content = disk.read(name);
    content[content.length - 1] ^= 1;
    disk.overwrite(name, content);
    assertThrows(DamagedStorageException.class, () -> open(LARGE_SEGMENT));
  }

  /** Guards against a replaced conflicting suffix that reappears after a restart. */
  @Test
  void conflictingSuffixIsReplaced() throws Exception {
    LogStorage storage = open(LARGE_SEGMENT);
    write(storage, entries(1, 5, 1));
    write(storage, entries(3, 1, 2));
    List<LogEntry> recovered = open(LARGE_SEGMENT).recovered().entries();
    assertThat(recovered).hasSize(3);
    assertThat(recovered.get(2).term()).isEqualTo(2);
  }

  /** Guards against entries that remain after an installed snapshot and conflict with it. */
  @Test
  void installedSnapshotReplacesTheLog() throws Exception {
    LogStorage storage = open(1);
    write(storage, entries(1, 5, 1));
    write(storage, entries(6, 5, 1));
    storage.installSnapshot(snapshot(8, 3));
    write(storage, entries(9, 1, 3));
    RecoveredLog recovered = open(1).recovered();
    assertThat(recovered.snapshot().get().index()).isEqualTo(8);
    assertThat(recovered.entries()).hasSize(1);
    assertThat(recovered.entries().get(0).term()).isEqualTo(3);
  }

  /** Guards against unbounded growth of the data folder. */
  @Test
  void snapshotRemovesCoveredSegmentsAndOlderSnapshots() throws Exception {
    LogStorage storage = open(1);
    for (int i = 1; i <= 10; i++) {
      write(storage, entries(i, 1, 1));
      storage.saveSnapshot(snapshot(i, 1));
    }
    assertThat(disk.list()).hasSize(3);
    assertThat(open(1).recovered().entries()).isEmpty();
  }

  /** Guards against acknowledgement of entries after a failed sync, because they may be lost. */
  @Test
  void failedSyncStopsAllFurtherUse() throws Exception {
    LogStorage storage = open(LARGE_SEGMENT);
    write(storage, entries(1, 1, 1));
    disk.failSyncAfter(0);
    storage.append(entries(2, 1, 1));
    assertThrows(IOException.class, storage::sync);
    assertThrows(IOException.class, storage::sync);
    assertThrows(
        IOException.class, () -> storage.saveHardState(new HardState(9, Optional.empty())));
    disk.crash();
    assertThat(open(LARGE_SEGMENT).recovered().entries().size()).isAtLeast(1);
  }

  /** Guards against a lost identity or vote, and against reuse of an identity after a wipe. */
  @Test
  void identityTermAndVoteSurviveAndWipedFolderGetsNewIdentity() throws Exception {
    LogStorage storage = open(LARGE_SEGMENT);
    MemberIdentity identity = storage.recovered().identity();
    HardState state = new HardState(7, Optional.of(MemberIdentity.seeded(99)));
    storage.saveHardState(state);
    disk.crash();
    RecoveredLog recovered = open(LARGE_SEGMENT).recovered();
    assertThat(recovered.identity()).isEqualTo(identity);
    assertThat(recovered.hardState()).isEqualTo(state);
    disk.wipe();
    assertThat(open(LARGE_SEGMENT).recovered().identity()).isNotEqualTo(identity);
  }

  /**
   * Guards against a crash point at which synced data is lost or the folder becomes unreadable:
   * crashes at each operation of a workload, with random loss of unsynced data, and compares the
   * recovered data with the synced data.
   */
  @Test
  void crashAtEveryOperationKeepsWhatWasSynced() throws Exception {
    FakeDisk countingDisk = new FakeDisk(0);
    new Workload(countingDisk).run();
    int operationCount = countingDisk.operations();
    assertThat(operationCount).isGreaterThan(60);
    for (int seed = 0; seed < 40; seed++) {
      for (int crashPoint = 0; crashPoint < operationCount; crashPoint++) {
        FakeDisk crashing = new FakeDisk(seed * 1000L + crashPoint);
        Workload workload = new Workload(crashing);
        crashing.crashAfter(crashPoint);
        assertThrows(FakeDisk.CrashException.class, workload::run);
        crashing.crash();
        RecoveredLog recovered =
            LogStorage.open(crashing, 200, () -> MemberIdentity.seeded(5)).recovered();
        workload.check(recovered, "seed " + seed + ", crash point " + crashPoint);
      }
    }
  }

  /** Guards against differences between the fake disk and a real file system. */
  @Test
  void realFolderIsReadBackAndLocked(@TempDir Path folder) throws Exception {
    try (FileDisk real = new FileDisk(folder)) {
      LogStorage storage = LogStorage.open(real, 100, () -> MemberIdentity.seeded(1));
      for (int i = 1; i <= 20; i++) {
        write(storage, entries(i, 1, 1));
      }
      storage.saveSnapshot(snapshot(10, 1));
      assertThrows(IOException.class, () -> new FileDisk(folder));
      storage.close();
    }
    try (FileDisk real = new FileDisk(folder)) {
      LogStorage storage = LogStorage.open(real, 100, () -> MemberIdentity.seeded(2));
      assertThat(storage.recovered().identity()).isEqualTo(MemberIdentity.seeded(1));
      assertThat(storage.recovered().entries()).hasSize(10);
      storage.close();
    }
  }

  /** A workload of all storage operations that records which data was reported durable. */
  private static final class Workload {
    private final FakeDisk disk;
    private final List<LogEntry> durable = new ArrayList<>();
    private final List<LogEntry> attempted = new ArrayList<>();
    private long durableTerm;
    private long durableSnapshot;

    Workload(FakeDisk disk) {
      this.disk = disk;
    }

    void run() throws IOException {
      LogStorage storage = LogStorage.open(disk, 200, () -> MemberIdentity.seeded(4));
      Random random = new Random(3);
      for (int step = 1; step <= 12; step++) {
        storage.saveHardState(new HardState(step, Optional.empty()));
        durableTerm = step;
        long first = Math.max(durableSnapshot + 1, durable.size() + 1 - random.nextInt(3));
        List<LogEntry> added = entries(first, 1 + random.nextInt(4), step);
        attempted.clear();
        attempted.addAll(durable.subList(0, (int) first - 1));
        attempted.addAll(added);
        storage.append(added);
        storage.sync();
        durable.clear();
        durable.addAll(attempted);
        if (step % 4 == 0) {
          LogEntry last = durable.get(durable.size() - 2);
          storage.saveSnapshot(snapshot(last.index(), last.term()));
          durableSnapshot = last.index();
        }
      }
      storage.installSnapshot(snapshot(100, 50));
      durableSnapshot = 100;
    }

    void check(RecoveredLog recovered, String context) {
      long base = recovered.snapshot().map(Snapshot::index).orElse(0L);
      assertThat(recovered.hardState().term()).isAtLeast(durableTerm);
      assertThat(base).isAtLeast(durableSnapshot);
      if (base == 100) {
        assertThat(recovered.entries()).isEmpty();
        return;
      }
      List<LogEntry> recoveredEntries = recovered.entries();
      boolean isOldOrNewLog =
          recoveredEntries.equals(durable.subList((int) base, durable.size()))
              || recoveredEntries.equals(attempted.subList((int) base, attempted.size()));
      assertThat(isOldOrNewLog ? "" : context + ": " + recoveredEntries + " from " + durable)
          .isEmpty();
    }
  }

  /**
   * Guards against a start that reads a log of large entries into memory: the control VM ran out of
   * heap again after each restart.
   */
  @Test
  void dataOfLargeRecoveredEntriesStaysOnDisk() throws Exception {
    List<LogEntry> written = new ArrayList<>();
    LogStorage storage = open(20_000);
    for (int i = 1; i <= 12; i++) {
      byte[] data = new byte[i % 3 == 0 ? 10 : 5_000 + i];
      Arrays.fill(data, (byte) i);
      written.add(new LogEntry(i, 1, EntryKind.COMMAND, data));
    }
    write(storage, written.subList(0, 3));
    for (int i = 3; i < 12; i++) {
      write(storage, written.subList(i, i + 1));
    }
    LogStorage reopened = open(20_000);
    List<LogEntry> recovered = reopened.recovered().entries();
    write(reopened, entries(13, 1, 1));

    assertThat(recovered).isEqualTo(written);
    for (LogEntry entry : recovered) {
      assertThat(entry.isDataOnDisk()).isEqualTo(entry.index() % 3 != 0);
    }
  }

  /** Guards against a storage that keeps the recovered snapshot in memory while it is open. */
  @Test
  void recoveredDataIsReleasedWithTheNextSnapshot() throws Exception {
    LogStorage storage = open(LARGE_SEGMENT);
    write(storage, entries(1, 2, 1));
    storage.saveSnapshot(snapshot(2, 1));
    assertThrows(IllegalStateException.class, storage::recovered);
  }

  private LogStorage open(long segmentBytes) throws IOException {
    return LogStorage.open(disk, segmentBytes, () -> MemberIdentity.seeded(++identitySeed));
  }

  private static void write(LogStorage storage, List<LogEntry> entries) throws IOException {
    storage.append(entries);
    storage.sync();
  }

  private static List<LogEntry> entries(long first, int count, long term) {
    List<LogEntry> result = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      byte[] data = ("command " + (first + i)).getBytes(java.nio.charset.StandardCharsets.UTF_8);
      result.add(new LogEntry(first + i, term, EntryKind.COMMAND, data));
    }
    return result;
  }

  private static Snapshot snapshot(long index, long term) {
    return new Snapshot(index, term, new byte[0], new byte[] {1, 2, 3});
  }
}
