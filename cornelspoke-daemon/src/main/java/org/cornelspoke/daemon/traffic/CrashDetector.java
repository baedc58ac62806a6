package org.cornelspoke.daemon.traffic;

import io.activej.reactor.Reactor;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Recognizes that an upstream process has ended under its requests. A lost connection alone is no
 * crash: the process may have closed it, or the response may have been malformed. A crash is
 * assumed if the address then refuses connections, or if another process is announced there.
 *
 * <p>Delays are scheduled on the reactor, because ticks of the timer wheel are too coarse for them.
 * Confined to the reactor thread.
 */
final class CrashDetector {

  /** Requests that were lost within this time of each other are taken for lost in one crash. */
  private static final long SAME_CRASH_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Time for the ends of the remaining connections to be read after the first refusal. */
  private static final long SETTLE_MILLIS = 3;

  /** A process that is ending may still accept a connection. */
  private static final long SECOND_PROBE_DELAY_MILLIS = 100;

  /** Time within which a restarted process is announced. */
  private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Bounds the memory; the requests that were lost last are kept. */
  private static final int MAX_LOST_REQUESTS = 512;

  private final UpstreamProbe probe;
  private final Reactor reactor;
  private final Listener listener;
  private final Deque<LostRequest> lostRequests = new ArrayDeque<>();
  private boolean probing;
  private int crashCount;
  private long crashedAtNanos;
  private boolean stopped;

  /** Receives the crashes of an upstream. */
  interface Listener {

    /**
     * Called when a process has crashed, and again for the same crash if the connections of further
     * requests end afterwards.
     *
     * @param crashNumber number of the crash among those of this upstream, beginning with 1
     * @param running the requests that ran when the process crashed
     */
    void onCrash(int crashNumber, List<LostRequest> running);
  }

  /** Creates a detector for one upstream. */
  CrashDetector(UpstreamProbe probe, Reactor reactor, Listener listener) {
    this.probe = probe;
    this.reactor = reactor;
    this.listener = listener;
  }

  /** Records a request whose connection ended before a complete response. */
  void onConnectionLost(LostRequest request) {
    if (stopped) {
      return;
    }
    lostRequests.addLast(request);
    if (lostRequests.size() > MAX_LOST_REQUESTS) {
      lostRequests.removeFirst();
    }
    if (crashCount > 0 && request.lostAtNanos() - crashedAtNanos <= SAME_CRASH_NANOS) {
      scheduleReport();
    } else if (!probing) {
      probing = true;
      probe(true);
    }
  }

  /** Records that another process has been announced although this one did not drain. */
  void onReplaced(long nowNanos) {
    lostRequests.removeIf(request -> nowNanos - request.lostAtNanos() > RETENTION_NANOS);
    beginCrash();
    report();
    stop();
  }

  /** Ends the detection, because the process leaves in an orderly way. */
  void stop() {
    stopped = true;
    lostRequests.clear();
  }

  private void probe(boolean first) {
    probe
        .isRefused()
        .whenResult(
            refused -> {
              if (refused) {
                probing = false;
                beginCrash();
                scheduleReport();
              } else if (first) {
                reactor.delayBackground(SECOND_PROBE_DELAY_MILLIS, () -> probe(false));
              } else {
                probing = false;
              }
            });
  }

  private void beginCrash() {
    if (lostRequests.isEmpty()) {
      return;
    }
    long lostAtNanos = lostRequests.getLast().lostAtNanos();
    if (crashCount == 0 || lostAtNanos - crashedAtNanos > SAME_CRASH_NANOS) {
      crashCount++;
      crashedAtNanos = lostAtNanos;
    }
  }

  private void scheduleReport() {
    reactor.delayBackground(SETTLE_MILLIS, this::report);
  }

  private void report() {
    if (stopped || lostRequests.isEmpty()) {
      return;
    }
    long lastNanos = lostRequests.getLast().lostAtNanos();
    List<LostRequest> running =
        lostRequests.stream()
            .filter(request -> lastNanos - request.lostAtNanos() <= SAME_CRASH_NANOS)
            .toList();
    lostRequests.clear();
    listener.onCrash(crashCount, running);
  }
}
