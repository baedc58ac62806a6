package org.cornelspoke.bench.consensus;

import java.util.concurrent.CountDownLatch;
import org.HdrHistogram.Histogram;
import org.cornelspoke.coordination.consensus.ReplicatedLog.ProposalListener;

/** Closed-loop load that keeps a fixed number of proposals outstanding on one VM. */
final class ProposalLoad {

  private final BenchVm vm;
  private final byte[] command;
  private final int concurrency;
  private final Histogram latencyMicros = new Histogram(3);
  private final CountDownLatch finished;
  private long recordingStartNanos;
  private long endNanos;
  private long remainingProposals = Long.MAX_VALUE;
  private long failures;

  ProposalLoad(BenchVm vm, int commandBytes, int concurrency) {
    this.vm = vm;
    this.command = new byte[commandBytes];
    this.concurrency = concurrency;
    this.finished = new CountDownLatch(concurrency);
  }

  /** Runs for the warm-up and the recorded time, then waits for all outstanding proposals. */
  void runFor(double warmUpSeconds, double seconds) throws InterruptedException {
    recordingStartNanos = System.nanoTime() + (long) (warmUpSeconds * 1e9);
    endNanos = recordingStartNanos + (long) (seconds * 1e9);
    vm.execute(
        () -> {
          for (int i = 0; i < concurrency; i++) {
            proposeNext();
          }
        });
    finished.await();
  }

  /** Sends the given number of proposals and waits until each has been committed or has failed. */
  void runUntilProposed(long count) throws InterruptedException {
    recordingStartNanos = System.nanoTime();
    endNanos = Long.MAX_VALUE;
    remainingProposals = count;
    vm.execute(
        () -> {
          for (int i = 0; i < concurrency; i++) {
            proposeNext();
          }
        });
    finished.await();
  }

  Histogram latencyMicros() {
    return latencyMicros;
  }

  long failures() {
    return failures;
  }

  private void proposeNext() {
    long startNanos = System.nanoTime();
    if (startNanos >= endNanos || remainingProposals-- <= 0) {
      finished.countDown();
      return;
    }
    vm.service.propose(
        command,
        new ProposalListener() {
          @Override
          public void onCommitted(long index, byte[] result) {
            long nowNanos = System.nanoTime();
            if (startNanos >= recordingStartNanos && nowNanos <= endNanos) {
              latencyMicros.recordValue((nowNanos - startNanos) / 1000);
            }
            proposeNext();
          }

          @Override
          public void onNotAppended(String cause) {
            failures++;
            proposeNext();
          }

          @Override
          public void onUnknown(String cause) {
            failures++;
            proposeNext();
          }
        });
  }
}
