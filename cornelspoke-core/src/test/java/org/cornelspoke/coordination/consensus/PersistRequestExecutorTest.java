package org.cornelspoke.coordination.consensus;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cornelspoke.state.log.DamagedStorageException;
import org.cornelspoke.state.log.EntryKind;
import org.cornelspoke.state.log.FakeDisk;
import org.cornelspoke.state.log.HardState;
import org.cornelspoke.state.log.LogEntry;
import org.cornelspoke.state.log.LogStorage;
import org.cornelspoke.state.log.MemberIdentity;
import org.cornelspoke.state.log.RecoveredLog;
import org.cornelspoke.state.log.Snapshot;
import org.junit.jupiter.api.Test;

class PersistRequestExecutorTest {

  private static final MemberIdentity IDENTITY = MemberIdentity.seeded(4);
  private static final long SEGMENT_BYTES = 200;
  private static final int SEEDS = 4;
  private static final int MAX_ATTEMPTS = 5;

  /** Guards against data that counts as durable although a failed sync has lost it. */
  @Test
  void reportedDataSurvivesPowerLossAfterAFailureOfEachOperation() throws Exception {
    int operationCount = countOperations();
    assertThat(operationCount).isGreaterThan(100);
    for (int k = 0; k < operationCount; k++) {
      for (int seed = 0; seed < SEEDS; seed++) {
        Run run = new Run(seed * 1000L + k);
        run.disk.failOperationAfter(k);
        run.executeUntilFailure();
        run.executeOnce();
        run.crashAndCheck("operation " + k + ", seed " + seed);
      }
    }
  }

  /** Guards against a failure during the opening that loses what was reported before. */
  @Test
  void reportedDataSurvivesASecondFailureDuringTheOpening() throws Exception {
    int operationCount = countOperations();
    for (int k = 0; k < operationCount; k++) {
      for (int second = 0; second < 60; second++) {
        Run run = new Run(second * 1000L + k);
        run.disk.failOperationAfter(k);
        run.executeUntilFailure();
        run.disk.failOperationAfter(second / 2);
        run.executeOnce();
        if (second % 2 == 0) {
          run.executeOnce();
        }
        run.crashAndCheck("operation " + k + ", then " + second / 2 + ", seed " + second % 2);
      }
    }
  }

  /** Guards against a started process that vouches for what only the page cache holds. */
  @Test
  void dataReadAfterAKilledProcessSurvivesPowerLoss() throws Exception {
    int operationCount = countOperations();
    for (int k = 0; k < operationCount; k++) {
      for (int seed = 0; seed < SEEDS; seed++) {
        Run run = new Run(seed * 1000L + k);
        run.disk.failOperationAfter(k);
        run.executeUntilFailure();
        RecoveredLog read = run.open();
        run.disk.crash();
        RecoveredLog recovered = run.open();
        String context = "operation " + k + ", seed " + seed;
        assertWithMessage(context).that(recovered.hardState()).isEqualTo(read.hardState());
        assertWithMessage(context).that(lastIndex(recovered)).isEqualTo(lastIndex(read));
        assertWithMessage(context).that(recovered.entries()).isEqualTo(read.entries());
        run.check(recovered, context);
      }
    }
  }

  /** Guards against requests that are lost, doubled or reordered by their repetition. */
  @Test
  void allRequestsAreDurableInOrderAfterAFailureOfEachOperation() throws Exception {
    int operationCount = countOperations();
    for (int k = 0; k < operationCount; k++) {
      Run run = new Run(k);
      run.disk.failOperationAfter(k);
      run.executeToTheEnd();
      assertThat(run.reported).isEqualTo(run.requests.size());
      run.crashAndCheck("operation " + k);
    }
  }

  /** Guards against a member that goes on with a folder that has lost what it vouched for. */
  @Test
  void reopenedFolderThatLostReportedDataIsRejectedAndNotModified() throws Exception {
    for (String lost : List.of("meta", "log", "snapshot")) {
      Run run = new Run(1);
      byte[] oldMeta = run.disk.read("meta");
      run.executeToTheEnd();
      List<String> names = run.disk.list();
      if (lost.equals("meta")) {
        run.disk.overwrite("meta", oldMeta);
      } else {
        String name = names.stream().filter(n -> n.startsWith(lost)).reduce((a, b) -> b).get();
        run.disk.overwrite(name, new byte[0]);
        if (lost.equals("snapshot")) {
          names.stream().filter(n -> !n.equals("meta")).forEach(run::delete);
        }
      }
      run.disk.failOperationAfter(0);
      run.submitNewTerm();
      assertThat(run.executeOnce()).isFalse();
      var before = run.disk.contents();
      assertThrows(DamagedStorageException.class, run.executor::execute);
      assertWithMessage(lost).that(run.disk.contents()).isEqualTo(before);
    }
  }

  private static int countOperations() throws IOException {
    Run run = new Run(0);
    int before = run.disk.operations();
    run.executeToTheEnd();
    return run.disk.operations() - before;
  }

  private static long lastIndex(RecoveredLog log) {
    return log.entries().isEmpty()
        ? log.snapshot().map(Snapshot::index).orElse(0L)
        : log.entries().get(log.entries().size() - 1).index();
  }

  /** The content of a log after a number of requests. */
  private record Model(HardState hardState, long snapshotIndex, List<Long> terms) {

    Model apply(PersistRequest request) {
      List<Long> newTerms = new ArrayList<>(terms);
      for (LogEntry entry : request.entries()) {
        newTerms.subList((int) entry.index() - 1, newTerms.size()).clear();
        newTerms.add(entry.term());
      }
      if (request.installed()) {
        Snapshot snapshot = request.snapshot().get();
        newTerms.clear();
        while (newTerms.size() < snapshot.index()) {
          newTerms.add(snapshot.term());
        }
      }
      return new Model(
          request.hardState().orElse(hardState),
          request.snapshot().map(Snapshot::index).orElse(snapshotIndex),
          newTerms);
    }

    boolean hasLogOf(RecoveredLog recovered) {
      boolean hasSnapshot =
          recovered
              .snapshot()
              .map(
                  snapshot ->
                      snapshot.index() <= terms.size()
                          && terms.get((int) snapshot.index() - 1) == snapshot.term())
              .orElse(true);
      return hasSnapshot
          && lastIndex(recovered) == terms.size()
          && recovered.entries().stream()
              .allMatch(entry -> terms.get((int) entry.index() - 1) == entry.term());
    }
  }

  private static final class Run {

    private final FakeDisk disk;
    private final List<PersistRequest> requests = new ArrayList<>();
    private final List<Model> models = new ArrayList<>();
    private final PersistRequestExecutor executor;
    private int submitted;
    private int reported;

    Run(long seed) throws IOException {
      disk = new FakeDisk(seed);
      models.add(new Model(HardState.INITIAL, 0, List.of()));
      addRequests();
      executor =
          new PersistRequestExecutor(
              LogStorage.open(disk, SEGMENT_BYTES, () -> IDENTITY),
              () -> LogStorage.reopen(disk, SEGMENT_BYTES, IDENTITY),
              sequence -> reported = (int) sequence);
    }

    private void addRequests() {
      long last = 0;
      for (int term = 1; term <= 12; term++) {
        Optional<MemberIdentity> vote =
            term % 2 == 0 ? Optional.empty() : Optional.of(MemberIdentity.seeded(term));
        add(Optional.of(new HardState(term, vote)), List.of(), Optional.empty(), false);
        long first = Math.max(1, last + 1 - term % 3);
        last = first + term % 4;
        add(Optional.empty(), entries(first, last, term), Optional.empty(), false);
        if (term % 4 == 0) {
          List<Long> terms = models.get(models.size() - 1).terms();
          Snapshot snapshot = snapshot(last - 2, terms.get((int) last - 3));
          add(Optional.empty(), List.of(), Optional.of(snapshot), false);
        }
      }
      add(Optional.empty(), List.of(), Optional.of(snapshot(last + 20, 13)), true);
      add(Optional.empty(), entries(last + 21, last + 24, 13), Optional.empty(), false);
      add(Optional.empty(), entries(last + 23, last + 23, 14), Optional.empty(), false);
    }

    private void add(
        Optional<HardState> hardState,
        List<LogEntry> entries,
        Optional<Snapshot> snapshot,
        boolean installed) {
      PersistRequest request =
          new PersistRequest(requests.size() + 1, hardState, entries, snapshot, installed);
      requests.add(request);
      models.add(models.get(models.size() - 1).apply(request));
    }

    /** Returns false after the first failure. */
    private boolean executeOnce() throws DamagedStorageException {
      try {
        executor.execute();
        return true;
      } catch (DamagedStorageException e) {
        throw e;
      } catch (IOException e) {
        return false;
      }
    }

    void executeUntilFailure() throws DamagedStorageException {
      do {
        if (submitted == requests.size()) {
          return;
        }
        executor.submit(requests.get(submitted++));
      } while (executeOnce());
    }

    void executeToTheEnd() throws DamagedStorageException {
      while (submitted < requests.size()) {
        executeUntilFailure();
        for (int i = 0; i < MAX_ATTEMPTS && reported < submitted; i++) {
          executeOnce();
        }
      }
    }

    void submitNewTerm() {
      HardState hardState = new HardState(20, Optional.empty());
      add(Optional.of(hardState), List.of(), Optional.empty(), false);
      executor.submit(requests.get(submitted++));
    }

    void delete(String name) {
      try {
        disk.delete(name);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    RecoveredLog open() throws IOException {
      LogStorage storage = LogStorage.open(disk, SEGMENT_BYTES, () -> MemberIdentity.seeded(5));
      return storage.recovered();
    }

    void crashAndCheck(String context) throws IOException {
      disk.crash();
      check(open(), context);
    }

    void check(RecoveredLog recovered, String context) {
      List<Model> possible = models.subList(reported, submitted + 1);
      String details =
          context + ": reported " + possible.get(0) + ", found " + recovered.snapshot() + recovered;
      assertWithMessage(details).that(recovered.identity()).isEqualTo(IDENTITY);
      assertWithMessage(details)
          .that(possible.stream().map(Model::hardState).toList())
          .contains(recovered.hardState());
      assertWithMessage(details)
          .that(recovered.snapshot().map(Snapshot::index).orElse(0L))
          .isAtLeast(possible.get(0).snapshotIndex());
      assertWithMessage(details)
          .that(possible.stream().anyMatch(model -> model.hasLogOf(recovered)))
          .isTrue();
    }

    private static List<LogEntry> entries(long first, long last, long term) {
      List<LogEntry> result = new ArrayList<>();
      for (long index = first; index <= last; index++) {
        result.add(new LogEntry(index, term, EntryKind.COMMAND, new byte[] {1, 2, 3, 4}));
      }
      return result;
    }

    private static Snapshot snapshot(long index, long term) {
      return new Snapshot(index, term, new byte[0], new byte[] {1, 2, 3});
    }
  }
}
