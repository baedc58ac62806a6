package org.cornelspoke.daemon.consensus;

import com.codahale.metrics.Timer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.cornelspoke.coordination.consensus.PersistRequest;
import org.cornelspoke.state.log.Disk;
import org.cornelspoke.state.log.LogEntry;
import org.cornelspoke.state.log.LogStorage;

/**
 * Executes persist requests on its own thread. Consecutive queued entries are written as one record
 * with one sync. The storage is confined to this thread, which closes it when it ends.
 */
final class DiskWriter {

  private static final System.Logger LOG = System.getLogger(DiskWriter.class.getName());

  /** Size limit of a batch, so that progress is reported while a large backlog is synced. */
  private static final long MAX_RECORD_BYTES = 4 << 20;

  /** Receives the results on the writer thread. */
  interface Listener {
    void onPersisted(long sequence);

    void onFailed(IOException cause);
  }

  /** Unblocks the thread so that it sees {@link #stopped}. */
  private static final PersistRequest STOP =
      new PersistRequest(0, Optional.empty(), List.of(), Optional.empty(), false);

  private final Disk disk;
  private final LogStorage storage;
  private final ConsensusMetrics metrics;
  private final Listener listener;
  private final BlockingQueue<PersistRequest> queue = new LinkedBlockingQueue<>();
  private final List<LogEntry> batch = new ArrayList<>();
  private final Thread thread;
  private volatile boolean stopped;
  private long batchBytes;

  DiskWriter(
      String name, Disk disk, LogStorage storage, ConsensusMetrics metrics, Listener listener) {
    this.disk = disk;
    this.storage = storage;
    this.metrics = metrics;
    this.listener = listener;
    this.thread = new Thread(this::run, name);
    thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  void submit(PersistRequest request) {
    queue.add(request);
  }

  /** Requests a stop after the write in progress; the thread then releases the folder. */
  void stop() {
    stopped = true;
    queue.add(STOP);
  }

  /** Waits until the folder is released. */
  void awaitStopped() throws InterruptedException {
    thread.join();
  }

  private void run() {
    List<PersistRequest> requests = new ArrayList<>();
    try {
      while (!stopped) {
        write(requests);
        requests.clear();
        requests.add(queue.take());
        queue.drainTo(requests);
      }
    } catch (InterruptedException e) {
      stopped = true;
    } catch (IOException | RuntimeException e) {
      if (!stopped) {
        metrics.syncFailures().inc();
        listener.onFailed(e instanceof IOException io ? io : new IOException(e));
      }
    } finally {
      close();
    }
  }

  private void write(List<PersistRequest> requests) throws IOException {
    long lastSequence = 0;
    for (PersistRequest request : requests) {
      if (!continuesBatch(request)) {
        flush(lastSequence);
      }
      for (LogEntry entry : request.entries()) {
        batch.add(entry);
        batchBytes += entry.dataBytes();
      }
      if (request.hardState().isPresent()) {
        storage.saveHardState(request.hardState().get());
      }
      if (request.snapshot().isPresent() && request.installed()) {
        storage.installSnapshot(request.snapshot().get());
      } else if (request.snapshot().isPresent()) {
        storage.saveSnapshot(request.snapshot().get());
      }
      lastSequence = request.sequence();
    }
    flush(lastSequence);
  }

  private boolean continuesBatch(PersistRequest request) {
    return !request.entries().isEmpty()
        && batchBytes < MAX_RECORD_BYTES
        && (batch.isEmpty()
            || request.entries().get(0).index() == batch.get(batch.size() - 1).index() + 1);
  }

  private void flush(long sequence) throws IOException {
    if (!batch.isEmpty()) {
      try (Timer.Context ignored = metrics.syncTimer().time()) {
        storage.append(batch);
        storage.sync();
      }
      metrics.batchEntries().update(batch.size());
      batch.clear();
      batchBytes = 0;
    }
    if (sequence > 0) {
      listener.onPersisted(sequence);
    }
  }

  private void close() {
    try {
      storage.close();
      disk.close();
    } catch (IOException e) {
      LOG.log(System.Logger.Level.WARNING, "data folder was not closed cleanly", e);
    }
  }
}
