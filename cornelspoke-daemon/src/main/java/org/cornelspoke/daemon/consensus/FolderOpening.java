package org.cornelspoke.daemon.consensus;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.coordination.retry.Backoff;
import org.cornelspoke.state.log.DamagedStorageException;
import org.cornelspoke.state.log.FolderInUseException;

/**
 * Opens the data folder when the process starts. A full or read-only disk may accept writes again,
 * so a failed attempt is repeated on a thread of its own, with growing pauses.
 */
final class FolderOpening {

  private static final System.Logger LOG = System.getLogger(FolderOpening.class.getName());

  /** Opens the folder and the log in it, or neither. */
  interface Opener {

    /**
     * Opens the folder.
     *
     * @throws DamagedStorageException if the folder is damaged
     * @throws FolderInUseException if another process uses it
     * @throws IOException if it can't be read or written
     */
    OpenFolder open() throws IOException;
  }

  /** Receives the results on the thread that makes the attempts. */
  interface Listener {

    /** Reports that the first attempt failed. */
    void onRefused(IOException cause);

    /** Reports that a later attempt succeeded; {@link #takeOpened} returns the folder. */
    void onOpened();

    /** Reports that there are no further attempts, because they would not help. */
    void onFailed(Throwable cause);
  }

  private final Opener opener;
  private final Backoff retryPause;
  private final Listener listener;
  private final CountDownLatch stopSignal = new CountDownLatch(1);
  private final Thread thread;
  private Optional<OpenFolder> opened = Optional.empty();

  FolderOpening(String threadName, Opener opener, Backoff retryPause, Listener listener) {
    this.opener = opener;
    this.retryPause = retryPause;
    this.listener = listener;
    this.thread = new Thread(this::run, threadName);
    thread.setDaemon(true);
  }

  /**
   * Makes the first attempt on the calling thread.
   *
   * @return empty if it failed and {@link #startRetries} may succeed
   * @throws IOException if the folder is damaged or in use
   */
  Optional<OpenFolder> tryOpen() throws IOException {
    try {
      return Optional.of(open());
    } catch (DamagedStorageException | FolderInUseException e) {
      throw e;
    } catch (IOException e) {
      listener.onRefused(e);
      return Optional.empty();
    }
  }

  /** Starts to repeat the attempt. */
  void startRetries() {
    thread.start();
  }

  /** Returns the folder that was opened, once. */
  synchronized Optional<OpenFolder> takeOpened() {
    Optional<OpenFolder> taken = opened;
    opened = Optional.empty();
    return taken;
  }

  /** Ends the attempts; a folder that was not taken is closed. */
  void stop() {
    stopSignal.countDown();
    takeOpened().ifPresent(FolderOpening::close);
  }

  /** Waits until no attempt is in progress after {@link #stop}. */
  void awaitStopped() throws InterruptedException {
    thread.join();
  }

  private void run() {
    try {
      int failedAttempts = 1;
      while (!isStopped(retryPause.delayNanos(failedAttempts - 1))) {
        if (succeeds()) {
          return;
        }
        failedAttempts++;
      }
    } catch (InterruptedException | IOException | RuntimeException e) {
      listener.onFailed(e);
    } catch (Error e) {
      listener.onFailed(e);
      throw e;
    }
  }

  private boolean succeeds() throws IOException {
    OpenFolder folder;
    try {
      folder = open();
    } catch (DamagedStorageException | FolderInUseException e) {
      throw e;
    } catch (IOException e) {
      LOG.log(System.Logger.Level.DEBUG, "data folder still does not open", e);
      return false;
    }
    offer(folder);
    listener.onOpened();
    return true;
  }

  private synchronized void offer(OpenFolder folder) {
    if (stopSignal.getCount() == 0) {
      close(folder);
    } else {
      opened = Optional.of(folder);
    }
  }

  private OpenFolder open() throws IOException {
    try {
      return opener.open();
    } catch (UncheckedIOException e) {
      throw e.getCause();
    }
  }

  private boolean isStopped(long waitNanos) throws InterruptedException {
    return stopSignal.await(waitNanos, TimeUnit.NANOSECONDS);
  }

  private static void close(OpenFolder folder) {
    try {
      folder.close();
    } catch (IOException e) {
      LOG.log(System.Logger.Level.WARNING, "data folder was not closed cleanly", e);
    }
  }
}
