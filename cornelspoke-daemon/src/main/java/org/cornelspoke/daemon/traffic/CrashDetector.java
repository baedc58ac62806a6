package org.cornelspoke.daemon.traffic;

import io.activej.reactor.Reactor;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

/**
 * Recognizes that an upstream process has ended under its requests. A lost connection alone is no
 * crash: the process may have closed it, or the response may have been malformed. A crash is
 * assumed if the address then refuses connections, or if another process is announced there.
 *
 * <p>A process may crash before it has been announced. A request whose connection was opened after
 * a crash therefore belongs to another process, whatever was announced last.
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
  private final UUID unnamed = UUID.randomUUID();
  private Optional<ProcessId> process;

  /** Requests that were lost without a known crash. */
  private final Deque<LostRequest> unexplained = new ArrayDeque<>();

  /** Requests of the last crash that have not been reported yet. */
  private final Deque<LostRequest> unreported = new ArrayDeque<>();

  private boolean probing;
  private int crashCount;
  private String crashedProcess;

  /** Connections that were opened until then were connections to a process that has crashed. */
  private long crashEndNanos;

  private boolean stopped;

  /** Receives the crashes of an upstream. */
  interface Listener {

    /**
     * Called when a process has crashed, and again for the same crash if the connections of further
     * requests end afterwards.
     *
     * @param crashedProcess name of the process, unique at this daemon and in time; a process that
     *     was not announced is named after the one that was announced last
     * @param running the requests that ran when the process crashed
     */
    void onCrash(String crashedProcess, List<LostRequest> running);
  }

  /**
   * Creates a detector for one address.
   *
   * @param process the announced process, or empty if it isn't named
   */
  CrashDetector(
      UpstreamProbe probe, Reactor reactor, Optional<ProcessId> process, Listener listener) {
    this.probe = probe;
    this.reactor = reactor;
    this.process = process;
    this.listener = listener;
  }

  /** Records a request whose connection ended before a complete response. */
  void onConnectionLost(LostRequest request) {
    if (stopped) {
      return;
    }
    if (belongsToLastCrash(request)) {
      addLast(unreported, request);
      scheduleReport();
      return;
    }
    addLast(unexplained, request);
    if (!probing) {
      probing = true;
      probe(true);
    }
  }

  /** Records an announcement of a process at the address. */
  void onAnnounced(Optional<ProcessId> announced, long nowNanos) {
    if (!announced.equals(process)) {
      onReplaced(nowNanos);
      process = announced;
    }
  }

  /** Records that another process has been announced although this one did not drain. */
  void onReplaced(long nowNanos) {
    unexplained.removeIf(request -> nowNanos - request.lostAtNanos() > RETENTION_NANOS);
    if (!unexplained.isEmpty()) {
      beginCrash(unexplained.getLast().lostAtNanos());
    }
    report();
  }

  /** Ends the detection, because the process leaves in an orderly way. */
  void stop() {
    stopped = true;
    unexplained.clear();
    unreported.clear();
  }

  boolean isStopped() {
    return stopped;
  }

  private void probe(boolean first) {
    probe
        .isRefused()
        .whenResult(
            refused -> {
              if (refused) {
                probing = false;
                beginCrash(System.nanoTime());
                scheduleReport();
              } else if (first) {
                reactor.delayBackground(SECOND_PROBE_DELAY_MILLIS, () -> probe(false));
              } else {
                probing = false;
              }
            });
  }

  private boolean belongsToLastCrash(LostRequest request) {
    return crashCount > 0 && request.connectedAtNanos() - crashEndNanos <= 0;
  }

  /** Explains the requests that were lost last by a crash, and forgets earlier ones. */
  private void beginCrash(long endNanos) {
    if (unexplained.isEmpty()) {
      return;
    }
    report();
    crashCount++;
    crashedProcess = process.map(ProcessId::toString).orElse(unnamed.toString()) + "#" + crashCount;
    crashEndNanos = endNanos;
    long lastNanos = unexplained.getLast().lostAtNanos();
    unexplained.stream()
        .filter(request -> lastNanos - request.lostAtNanos() <= SAME_CRASH_NANOS)
        .forEach(unreported::addLast);
    unexplained.clear();
  }

  private void scheduleReport() {
    reactor.delayBackground(SETTLE_MILLIS, this::report);
  }

  private void report() {
    if (stopped || unreported.isEmpty()) {
      return;
    }
    List<LostRequest> running = List.copyOf(unreported);
    unreported.clear();
    listener.onCrash(crashedProcess, running);
  }

  private static void addLast(Deque<LostRequest> requests, LostRequest request) {
    requests.addLast(request);
    if (requests.size() > MAX_LOST_REQUESTS) {
      requests.removeFirst();
    }
  }
}
