package org.cornelspoke.bench.load;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.cornelspoke.bench.http.LoopThread;

/** Paces one run: passes each request to the generator's thread when it is due. */
public final class LoadRun {

  // parkNanos overshoots by 50 to 100 microseconds, so exact pacing spins at the end of a wait.
  private static final long SPIN_DURATION_NANOS = 150_000;
  private static final long DRAIN_POLL_INTERVAL_NANOS = 20_000_000;
  private static final long MAX_DRAIN_NANOS = 15_000_000_000L;

  private final LoadPlan plan;
  private final Consumer<AttemptRecord> log;
  private final boolean spinWait;
  private final Consumer<String> progress;

  /**
   * Prepares a run.
   *
   * @param log receives every attempt on the thread of the run's event loop
   * @param spinWait true for exact pacing, which occupies one core
   * @param progress receives a progress line every two seconds
   */
  public LoadRun(
      LoadPlan plan, Consumer<AttemptRecord> log, boolean spinWait, Consumer<String> progress) {
    this.plan = plan;
    this.log = log;
    this.spinWait = spinWait;
    this.progress = progress;
  }

  /** Sends all requests of the plan and waits up to 15 s for those in flight. */
  public Result run() {
    LoopThread thread = new LoopThread("load");
    LoadGenerator generator =
        thread.call(() -> new LoadGenerator(thread.loop(), plan, log, System::nanoTime));
    ArrivalSchedule schedule = new ArrivalSchedule(plan);
    long nextProgressNanos = 2_000_000_000L;
    Optional<Arrival> arrival = schedule.next();
    while (arrival.isPresent()) {
      Arrival dueArrival = arrival.get();
      waitUntil(generator.startNanos() + dueArrival.atNanos());
      thread.loop().execute(() -> generator.send(dueArrival));
      if (dueArrival.atNanos() >= nextProgressNanos) {
        long seconds = nextProgressNanos / 1_000_000_000L;
        thread.loop().execute(() -> progress.accept(progressLine(seconds, generator)));
        nextProgressNanos += 2_000_000_000L;
      }
      arrival = schedule.next();
    }
    waitUntil(generator.startNanos() + plan.durationMillis() * 1_000_000);
    long drainDeadlineNanos = System.nanoTime() + MAX_DRAIN_NANOS;
    while (thread.call(generator::unfinishedRequests) > 0
        && System.nanoTime() - drainDeadlineNanos < 0) {
      LockSupport.parkNanos(DRAIN_POLL_INTERVAL_NANOS);
    }
    Result result = thread.call(() -> collectResult(generator));
    thread.stop();
    return result;
  }

  private Result collectResult(LoadGenerator generator) {
    double seconds = plan.durationMillis() / 1000.0;
    Map<String, Object> map = generator.stats().asMap(seconds);
    map.put("surplusAnswers", generator.unsolicitedResponses());
    map.put("unfinished", generator.unfinishedRequests());
    generator.close();
    return new Result(map, generator.stats().table(seconds), generator.stats().total());
  }

  private static String progressLine(long seconds, LoadGenerator generator) {
    GroupStats total = generator.stats().total();
    return String.format(
        "%3d s: offered %d, completed %d, gave up %d, in flight %d",
        seconds, total.offered, total.completed, total.gaveUp, generator.unfinishedRequests());
  }

  private void waitUntil(long targetNanos) {
    long spinNanos = spinWait ? SPIN_DURATION_NANOS : 0;
    long remainingNanos = targetNanos - System.nanoTime();
    while (remainingNanos > spinNanos) {
      LockSupport.parkNanos(remainingNanos - spinNanos);
      remainingNanos = targetNanos - System.nanoTime();
    }
    while (spinWait && System.nanoTime() - targetNanos < 0) {
      Thread.onSpinWait();
    }
  }

  /** The results of a run: as a map for JSON, as a table, and as totals. */
  public static final class Result {

    private final Map<String, Object> statistics;
    private final String table;
    private final GroupStats total;

    Result(Map<String, Object> statistics, String table, GroupStats total) {
      this.statistics = statistics;
      this.table = table;
      this.total = total;
    }

    /** Returns the statistics in the structure of the JSON file. */
    public Map<String, Object> statistics() {
      return statistics;
    }

    /** Returns the statistics as a table. */
    public String table() {
      return table;
    }

    /** Returns the latencies of completed requests in microseconds since their intended time. */
    public Histogram latencyMicros() {
      return total.latencyMicros;
    }

    /** Returns how many requests were completed. */
    public long completed() {
      return total.completed;
    }

    /** Returns how many responses were incomplete, altered or for another request. */
    public long wrongResponses() {
      return total.wrongResponses;
    }

    /** Returns how many requests were sent. */
    public long offered() {
      return total.offered;
    }
  }
}
