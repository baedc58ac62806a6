package org.cornelspoke.daemon.consensus;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.state.log.DiskOperationException;

/**
 * Records since when and why the data folder refuses writes, and logs each change once. Changed by
 * the thread that uses the folder, read by any thread.
 */
final class FolderCondition {

  private static final System.Logger LOG = System.getLogger(FolderCondition.class.getName());

  private record Refusal(String cause, long sinceNanos) {

    long durationSeconds() {
      return TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - sinceNanos);
    }
  }

  private volatile Optional<Refusal> refusal = Optional.empty();

  void onRefused(IOException cause) {
    refusal = Optional.of(new Refusal(describe(cause), System.nanoTime()));
    LOG.log(
        System.Logger.Level.ERROR,
        "data folder refuses writes; this VM takes no part in the group until it accepts them",
        cause);
  }

  void onAccepted() {
    refusal.ifPresent(
        ended ->
            LOG.log(
                System.Logger.Level.INFO,
                "data folder accepts writes again after {0} s",
                ended.durationSeconds()));
    refusal = Optional.empty();
  }

  /** Returns why the folder refuses writes; empty if it accepts them. */
  Optional<String> refusalCause() {
    return refusal.map(Refusal::cause);
  }

  /** Returns the seconds since the first refused write, 0 if the folder accepts writes. */
  long refusingSeconds() {
    return refusal.map(Refusal::durationSeconds).orElse(0L);
  }

  private static String describe(IOException cause) {
    return cause instanceof DiskOperationException ? cause.getMessage() : cause.toString();
  }
}
