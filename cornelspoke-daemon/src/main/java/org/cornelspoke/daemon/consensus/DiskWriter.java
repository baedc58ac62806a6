package org.cornelspoke.daemon.consensus;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.coordination.consensus.PersistRequest;
import org.cornelspoke.coordination.consensus.PersistRequestExecutor;
import org.cornelspoke.coordination.retry.Backoff;
import org.cornelspoke.state.log.DamagedStorageException;
import org.cornelspoke.state.log.Disk;
import org.cornelspoke.state.log.LogStorage;
import org.cornelspoke.state.log.MemberIdentity;

/**
 * Executes persist requests on its own thread. After a failed write or sync it opens the log again
 * until that succeeds, with growing pauses, and repeats the requests that are not durable. The
 * storage is confined to this thread, which closes it when it ends.
 */
final class DiskWriter {

  private static final System.Logger LOG = System.getLogger(DiskWriter.class.getName());

  /** Receives the results on the writer thread. */
  interface Listener {

    /** Reports that all requests up to the sequence number are durable. */
    void onPersisted(long sequence);

    /** Reports that a request failed, once until {@link #onAvailable}. */
    void onUnavailable(IOException cause);

    /** Reports that the requests that failed, and all submitted meanwhile, are durable. */
    void onAvailable();

    /** Reports that the thread ends before it was stopped, because repeating does not help. */
    void onEnded(Throwable cause);
  }

  /** Unblocks the thread so that it sees {@link #stopSignal}. */
  private static final PersistRequest STOP =
      new PersistRequest(0, Optional.empty(), List.of(), Optional.empty(), false);

  private final Disk disk;
  private final PersistRequestExecutor executor;
  private final Backoff retryPause;
  private final ConsensusMetrics metrics;
  private final Listener listener;
  private final BlockingQueue<PersistRequest> queue = new LinkedBlockingQueue<>();
  private final CountDownLatch stopSignal = new CountDownLatch(1);
  private final Thread thread;
  private int failedAttempts;

  DiskWriter(
      String name,
      OpenFolder folder,
      ConsensusSettings settings,
      Backoff retryPause,
      ConsensusMetrics metrics,
      Listener listener) {
    this.disk = folder.disk();
    LogStorage storage = folder.storage();
    this.retryPause = retryPause;
    this.metrics = metrics;
    this.listener = listener;
    MemberIdentity identity = storage.recovered().identity();
    this.executor =
        new PersistRequestExecutor(
            storage,
            () -> LogStorage.reopen(disk, settings.segmentBytes(), identity),
            new ExecutorEvents());
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
    stopSignal.countDown();
    queue.add(STOP);
  }

  /** Waits until the folder is released. */
  void awaitStopped() throws InterruptedException {
    thread.join();
  }

  private void run() {
    Throwable endCause = null;
    try {
      while (!isStopped()) {
        takeRequests();
        execute();
      }
    } catch (InterruptedException e) {
      endCause = e;
    } catch (DamagedStorageException e) {
      endCause = e;
    } catch (Error e) {
      endCause = e;
      throw e;
    } finally {
      close();
      if (endCause != null && !isStopped()) {
        listener.onEnded(endCause);
      }
    }
  }

  /** Takes the submitted requests; waits for them, or for the next attempt after a failure. */
  private void takeRequests() throws InterruptedException {
    List<PersistRequest> requests = new ArrayList<>();
    if (failedAttempts == 0) {
      requests.add(queue.take());
    } else {
      stopSignal.await(retryPause.delayNanos(failedAttempts - 1), TimeUnit.NANOSECONDS);
    }
    queue.drainTo(requests);
    requests.stream().filter(request -> !request.equals(STOP)).forEach(executor::submit);
  }

  private void execute() throws DamagedStorageException {
    if (isStopped()) {
      return;
    }
    try {
      executor.execute();
      if (failedAttempts > 0) {
        failedAttempts = 0;
        listener.onAvailable();
      }
    } catch (DamagedStorageException e) {
      throw e;
    } catch (IOException | RuntimeException e) {
      metrics.syncFailures().inc();
      if (failedAttempts++ == 0) {
        listener.onUnavailable(e instanceof IOException io ? io : new IOException(e));
      }
    }
  }

  private boolean isStopped() {
    return stopSignal.getCount() == 0;
  }

  private void close() {
    try {
      executor.close();
      disk.close();
    } catch (IOException e) {
      LOG.log(System.Logger.Level.WARNING, "data folder was not closed cleanly", e);
    }
  }

  private final class ExecutorEvents implements PersistRequestExecutor.Listener {

    @Override
    public void onPersisted(long sequence) {
      listener.onPersisted(sequence);
    }

    @Override
    public void onSynced(int entryCount, long durationNanos) {
      metrics.syncTimer().update(durationNanos, TimeUnit.NANOSECONDS);
      metrics.batchEntries().update(entryCount);
    }
  }
}
