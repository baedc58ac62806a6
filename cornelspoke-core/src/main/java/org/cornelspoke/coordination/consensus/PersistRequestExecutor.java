package org.cornelspoke.coordination.consensus;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import org.cornelspoke.state.log.DurableState;
import org.cornelspoke.state.log.HardState;
import org.cornelspoke.state.log.LogEntry;
import org.cornelspoke.state.log.LogStorage;
import org.cornelspoke.state.log.Snapshot;
import org.cornelspoke.util.Assert;

/**
 * Carries out persist requests in order. After a failure the requests that were not reported as
 * durable are kept, and the next call opens the folder anew and repeats them from the first one:
 * what a failed write or sync left in the files never counts as durable.
 *
 * <p>Not thread-safe.
 */
public final class PersistRequestExecutor implements Closeable {

  /** Size limit of a batch, so that progress is reported while a large backlog is synced. */
  private static final long MAX_BATCH_BYTES = 4 << 20;

  /** Opens the data folder again after a failure. */
  public interface StorageOpener {

    /**
     * Opens the folder of the same member, which is checked for what was reported as durable.
     *
     * @throws org.cornelspoke.state.log.DamagedStorageException if it is damaged
     * @throws IOException if it cannot be read or written yet
     */
    LogStorage open() throws IOException;
  }

  /** Receives the progress. */
  public interface Listener {

    /** Reports that all requests up to the sequence number are durable. */
    void onPersisted(long sequence);

    /** Reports the entries of one sync and its duration, including the write. */
    default void onSynced(int entryCount, long durationNanos) {}
  }

  private final StorageOpener opener;
  private final Listener listener;
  private final Deque<PersistRequest> pending = new ArrayDeque<>();
  private LogStorage storage;
  private DurableState durable;

  /**
   * Creates an executor.
   *
   * @param storage the open folder, or null if the first {@link #execute} is to open it
   */
  public PersistRequestExecutor(LogStorage storage, StorageOpener opener, Listener listener) {
    this.storage = storage;
    this.durable =
        storage == null
            ? new DurableState(HardState.INITIAL, 0, 0)
            : DurableState.of(storage.recovered());
    this.opener = Assert.notNull(opener, "opener");
    this.listener = Assert.notNull(listener, "listener");
  }

  /** Adds a request for the next {@link #execute}. */
  public void submit(PersistRequest request) {
    pending.add(request);
  }

  /**
   * Carries out all submitted requests.
   *
   * @throws org.cornelspoke.state.log.DamagedStorageException if the folder has lost data that was
   *     durable; repeating the call does not help
   * @throws IOException if a write or sync failed; the call may be repeated
   */
  public void execute() throws IOException {
    boolean succeeded = false;
    try {
      if (storage == null) {
        storage = opener.open();
        storage.restore(expectedState());
      }
      while (!pending.isEmpty()) {
        if (pending.peek().entries().isEmpty()) {
          executeSingle(pending.peek());
        } else {
          executeBatch();
        }
      }
      succeeded = true;
    } finally {
      if (!succeeded) {
        closeAfterFailure();
      }
    }
  }

  /** Releases the log; requests that were not carried out are dropped. */
  @Override
  public void close() throws IOException {
    pending.clear();
    LogStorage open = storage;
    storage = null;
    if (open != null) {
      open.close();
    }
  }

  private void executeSingle(PersistRequest request) throws IOException {
    if (request.hardState().isPresent()) {
      storage.saveHardState(request.hardState().get());
    }
    if (request.snapshot().isPresent() && request.installed()) {
      storage.installSnapshot(request.snapshot().get());
    } else if (request.snapshot().isPresent()) {
      storage.saveSnapshot(request.snapshot().get());
    }
    onPersisted(request.sequence());
  }

  /** Writes the consecutive entries at the head of the queue as one record with one sync. */
  private void executeBatch() throws IOException {
    List<LogEntry> batch = new ArrayList<>();
    long batchBytes = 0;
    long sequence = 0;
    for (Iterator<PersistRequest> i = pending.iterator(); i.hasNext(); ) {
      PersistRequest next = i.next();
      if (!batch.isEmpty() && (batchBytes >= MAX_BATCH_BYTES || !continues(batch, next))) {
        break;
      }
      batch.addAll(next.entries());
      batchBytes += next.entries().stream().mapToLong(LogEntry::dataBytes).sum();
      sequence = next.sequence();
    }
    long startNanos = System.nanoTime();
    storage.append(batch);
    storage.sync();
    listener.onSynced(batch.size(), System.nanoTime() - startNanos);
    onPersisted(sequence);
  }

  private static boolean continues(List<LogEntry> batch, PersistRequest next) {
    return !next.entries().isEmpty()
        && next.entries().get(0).index() == batch.get(batch.size() - 1).index() + 1;
  }

  private void onPersisted(long sequence) {
    while (!pending.isEmpty() && pending.peek().sequence() <= sequence) {
      durable = stateAfter(pending.remove());
    }
    listener.onPersisted(sequence);
  }

  private DurableState stateAfter(PersistRequest request) {
    return new DurableState(
        request.hardState().orElse(durable.hardState()),
        lastIndexAfter(request),
        Math.max(durable.snapshotIndex(), request.snapshot().map(Snapshot::index).orElse(0L)));
  }

  private long lastIndexAfter(PersistRequest request) {
    if (request.installed()) {
      return request.snapshot().get().index();
    }
    return request.entries().isEmpty()
        ? durable.lastIndex()
        : request.entries().get(request.entries().size() - 1).index();
  }

  /** Returns what was reported, less the entries that the request in progress may have replaced. */
  private DurableState expectedState() {
    if (pending.isEmpty()) {
      return durable;
    }
    long lastIndex = Math.min(durable.lastIndex(), lastIndexAfter(pending.peek()));
    return new DurableState(durable.hardState(), lastIndex, durable.snapshotIndex());
  }

  private void closeAfterFailure() {
    LogStorage failed = storage;
    storage = null;
    if (failed != null) {
      try {
        failed.close();
      } catch (IOException ignored) {
        // The failure that led here is reported, and the file is not used again.
      }
    }
  }
}
