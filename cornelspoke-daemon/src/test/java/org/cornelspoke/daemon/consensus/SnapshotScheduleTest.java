package org.cornelspoke.daemon.consensus;

import static com.google.common.truth.Truth.assertThat;

import org.cornelspoke.coordination.consensus.RaftSettings;
import org.cornelspoke.state.log.EntryKind;
import org.cornelspoke.state.log.LogEntry;
import org.junit.jupiter.api.Test;

class SnapshotScheduleTest {

  private final SnapshotSchedule schedule =
      new SnapshotSchedule(new ConsensusSettings(RaftSettings.DEFAULT, 5, 1_000, 1_000, 1_000));

  /** Guards against logs of many small entries that a restart takes long to read. */
  @Test
  void snapshotIsDueAfterTheNumberOfEntries() {
    apply(1, 5, 1);
    assertThat(schedule.isDue()).isTrue();
    schedule.onSnapshot(5, 10);
    apply(6, 4, 1);
    assertThat(schedule.isDue()).isFalse();
    apply(10, 1, 1);
    assertThat(schedule.isDue()).isTrue();
  }

  /** Guards against logs of few large entries that fill the disk. */
  @Test
  void snapshotIsDueAfterTheNumberOfBytes() {
    apply(1, 2, 499);
    assertThat(schedule.isDue()).isFalse();
    apply(3, 1, 2);
    assertThat(schedule.isDue()).isTrue();
  }

  /** Guards against writing a large state again after each large entry. */
  @Test
  void snapshotIsNotDueBeforeTheLogHasGrownByItsSize() {
    schedule.onSnapshot(1, 10_000);
    apply(2, 4, 2_400);
    assertThat(schedule.isDue()).isFalse();
  }

  private void apply(long first, int count, int dataBytes) {
    for (int i = 0; i < count; i++) {
      schedule.onApplied(new LogEntry(first + i, 1, EntryKind.COMMAND, new byte[dataBytes]));
    }
  }
}
