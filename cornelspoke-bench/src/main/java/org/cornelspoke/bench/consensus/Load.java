package org.cornelspoke.bench.consensus;

import java.util.concurrent.CountDownLatch;
import org.HdrHistogram.Histogram;
import org.cornelspoke.coordination.consensus.ReplicatedLog.ProposalListener;

/** Closed-loop load: a fixed number of proposals is always outstanding on one VM. */
final class Load {

  private final BenchVm vm;
  private final byte[] command;
  private final int concurrency;
  private final Histogram latencyMicros = new Histogram(3);
  private final CountDownLatch ended;
  private long recordFromNanos;
  private long endNanos;
  private long remaining = Long.MAX_VALUE;
  private long failures;

  Load(BenchVm vm, int commandBytes, int concurrency) {
    this.vm = vm;
    this.command = new byte[commandBytes];
    this.concurrency = concurrency;
    this.ended = new CountDownLatch(concurrency);
  }

  /** Runs for the warm-up and the recorded time and waits for the last outcome. */
  void run(double warmUpSeconds, double seconds) throws InterruptedException {
    recordFromNanos = System.nanoTime() + (long) (warmUpSeconds * 1e9);
    endNanos = recordFromNanos + (long) (seconds * 1e9);
    vm.execute(
        () -> {
          for (int i = 0; i < concurrency; i++) {
            proposeNext();
          }
        });
    ended.await();
  }

  /** Runs until so many proposals are committed. */
  void runCount(long count) throws InterruptedException {
    recordFromNanos = System.nanoTime();
    endNanos = Long.MAX_VALUE;
    remaining = count;
    vm.execute(
        () -> {
          for (int i = 0; i < concurrency; i++) {
            proposeNext();
          }
        });
    ended.await();
  }

  Histogram latencyMicros() {
    return latencyMicros;
  }

  long failures() {
    return failures;
  }

  private void proposeNext() {
    long start = System.nanoTime();
    if (start >= endNanos || remaining-- <= 0) {
      ended.countDown();
      return;
    }
    vm.service.propose(
        command,
        new ProposalListener() {
          @Override
          public void onCommitted(long index, byte[] result) {
            long now = System.nanoTime();
            if (start >= recordFromNanos && now <= endNanos) {
              latencyMicros.recordValue((now - start) / 1000);
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
