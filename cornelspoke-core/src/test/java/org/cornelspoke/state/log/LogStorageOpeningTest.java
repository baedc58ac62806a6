package org.cornelspoke.state.log;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class LogStorageOpeningTest {

  private static final long SEGMENT_BYTES = 100;
  private static final MemberIdentity IDENTITY = MemberIdentity.seeded(1);

  private final FakeDisk disk = new FakeDisk(1);

  /** Guards against files of failed openings that fill what is left of a full disk. */
  @Test
  void failedOpeningLeavesNoTemporaryFile() throws IOException {
    writeLog();
    int before = disk.operations();
    open();
    int operationCount = disk.operations() - before;
    for (int k = 0; k < operationCount; k++) {
      disk.failOperationAfter(k);
      assertThrows(IOException.class, this::open);
      assertWithMessage("operation " + k).that(temporaryFiles()).isEmpty();
    }
  }

  /** Guards against an error of the cleanup that hides why the opening failed. */
  @Test
  void failedCleanupDoesNotHideTheFirstFailure() throws IOException {
    writeLog();
    disk.failOperationAfter(1);
    disk.failOperationAfter(2);
    int first = disk.operations() + 2;
    IOException failed = assertThrows(IOException.class, this::open);
    assertThat(failed).hasMessageThat().endsWith("operation " + first);
    assertThat(failed.getSuppressed()).hasLength(1);
    assertThat(open().recovered().entries()).hasSize(4);
  }

  /** Guards against a large log that is read at each attempt while the disk is full. */
  @Test
  void openingOnAFullDiskReadsNothingAndLeavesItAsItWas() throws IOException {
    writeLog();
    long usedBytes = disk.usedBytes();
    disk.limitCapacity(usedBytes + 100);
    int readsBefore = disk.reads();
    for (int i = 0; i < 3; i++) {
      assertThrows(IOException.class, this::open);
      assertThrows(IOException.class, () -> LogStorage.reopen(disk, SEGMENT_BYTES, IDENTITY));
      assertThat(disk.usedBytes()).isEqualTo(usedBytes);
    }
    assertThat(disk.reads()).isEqualTo(readsBefore);
    disk.clearFaults();
    assertThat(open().recovered().entries()).hasSize(4);
  }

  /** Guards against half a snapshot that fills a disk on which it has no room. */
  @Test
  void snapshotWithoutRoomLeavesNoTemporaryFile() throws IOException {
    LogStorage storage = writeLog();
    disk.limitCapacity(disk.usedBytes() + 100);
    Snapshot snapshot = new Snapshot(3, 1, new byte[0], new byte[1_000]);
    assertThrows(IOException.class, () -> storage.saveSnapshot(snapshot));
    assertThat(temporaryFiles()).isEmpty();
  }

  /** Guards against an opening that deletes a file that another part is just writing. */
  @Test
  void temporaryFilesOfOtherPartsAreKept() throws IOException {
    writeLog();
    disk.overwrite("rate-shares.tmp", new byte[1]);
    disk.overwrite("meta.tmp", new byte[1]);
    open();
    assertThat(temporaryFiles()).containsExactly("rate-shares.tmp");
  }

  /** Guards against writes to a folder that was not checked for what it must hold. */
  @Test
  void reopenedLogIsNotWrittenBeforeItIsRestored() throws IOException {
    writeLog();
    var before = disk.contents();
    LogStorage reopened = LogStorage.reopen(disk, SEGMENT_BYTES, IDENTITY);
    HardState hardState = new HardState(2, Optional.empty());
    assertThrows(IllegalStateException.class, () -> reopened.saveHardState(hardState));
    assertThat(disk.contents()).isEqualTo(before);
    reopened.restore(DurableState.of(reopened.recovered()));
    reopened.saveHardState(hardState);
    assertThat(open().recovered().hardState()).isEqualTo(hardState);
  }

  private LogStorage open() throws IOException {
    return LogStorage.open(disk, SEGMENT_BYTES, () -> IDENTITY);
  }

  private LogStorage writeLog() throws IOException {
    LogStorage storage = open();
    for (int index = 1; index <= 5; index++) {
      storage.append(List.of(new LogEntry(index, 1, EntryKind.COMMAND, new byte[50])));
      storage.sync();
    }
    storage.saveSnapshot(new Snapshot(1, 1, new byte[0], new byte[10]));
    return storage;
  }

  private List<String> temporaryFiles() {
    return disk.list().stream().filter(name -> name.endsWith(".tmp")).toList();
  }
}
