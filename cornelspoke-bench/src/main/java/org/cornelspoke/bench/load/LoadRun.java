package org.cornelspoke.bench.load;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.cornelspoke.bench.http.LoopThread;

/** Paces one run: hands each request to the generator's thread when it is due. */
public final class LoadRun {

  // parkNanos overshoots by 50 to 100 microseconds, so the last part of a wait spins on request.
  private static final long SPIN_NANOS = 150_000;
  private static final long SETTLE_STEP_NANOS = 20_000_000;
  private static final long SETTLE_LIMIT_NANOS = 15_000_000_000L;

  private final LoadPlan plan;
  private final Consumer<AttemptRecord> log;
  private final boolean spin;
  private final Consumer<String> progress;

  /**
   * Prepares a run.
   *
   * @param log receives every attempt on the thread of the run's event loop
   * @param spin true for exact pacing at the cost of one core
   * @param progress receives a line every two seconds
   */
  public LoadRun(
      LoadPlan plan, Consumer<AttemptRecord> log, boolean spin, Consumer<String> progress) {
    this.plan = plan;
    this.log = log;
    this.spin = spin;
    this.progress = progress;
  }

  /** Sends the whole load and waits for the last answers. */
  public Result run() {
    LoopThread thread = new LoopThread("load");
    LoadGenerator generator =
        thread.call(() -> new LoadGenerator(thread.loop(), plan, log, System::nanoTime));
    ArrivalSchedule schedule = new ArrivalSchedule(plan);
    long nextProgress = 2_000_000_000L;
    Optional<Arrival> arrival = schedule.next();
    while (arrival.isPresent()) {
      Arrival due = arrival.get();
      waitUntil(generator.startNanos() + due.atNanos());
      thread.loop().execute(() -> generator.send(due));
      if (due.atNanos() >= nextProgress) {
        long seconds = nextProgress / 1_000_000_000L;
        thread.loop().execute(() -> progress.accept(line(seconds, generator)));
        nextProgress += 2_000_000_000L;
      }
      arrival = schedule.next();
    }
    waitUntil(generator.startNanos() + plan.durationMillis() * 1_000_000);
    long limit = System.nanoTime() + SETTLE_LIMIT_NANOS;
    while (thread.call(generator::unfinished) > 0 && System.nanoTime() - limit < 0) {
      LockSupport.parkNanos(SETTLE_STEP_NANOS);
    }
    Result result = thread.call(() -> result(generator));
    thread.stop();
    return result;
  }

  private Result result(LoadGenerator generator) {
    double seconds = plan.durationMillis() / 1000.0;
    Map<String, Object> map = generator.stats().asMap(seconds);
    map.put("surplusAnswers", generator.surplusAnswers());
    map.put("unfinished", generator.unfinished());
    generator.close();
    return new Result(map, generator.stats().table(seconds), generator.stats().total());
  }

  private static String line(long seconds, LoadGenerator generator) {
    GroupStats total = generator.stats().total();
    return String.format(
        "%3d s: offered %d, completed %d, gave up %d, in flight %d",
        seconds, total.offered, total.completed, total.gaveUp, generator.unfinished());
  }

  private void waitUntil(long nanos) {
    long margin = spin ? SPIN_NANOS : 0;
    long left = nanos - System.nanoTime();
    while (left > margin) {
      LockSupport.parkNanos(left - margin);
      left = nanos - System.nanoTime();
    }
    while (spin && System.nanoTime() - nanos < 0) {
      Thread.onSpinWait();
    }
  }

  /** The figures of a run: as a map for JSON, as a table, and the total for further use. */
  public static final class Result {

    private final Map<String, Object> figures;
    private final String table;
    private final GroupStats total;

    Result(Map<String, Object> figures, String table, GroupStats total) {
      this.figures = figures;
      this.table = table;
      this.total = total;
    }

    /** Returns the figures in the form of the JSON file. */
    public Map<String, Object> figures() {
      return figures;
    }

    /** Returns the figures as a readable table. */
    public String table() {
      return table;
    }

    /** Returns the latencies of completed requests in microseconds from their intended time. */
    public Histogram latencyMicros() {
      return total.latencyMicros;
    }

    /** Returns how many requests were completed. */
    public long completed() {
      return total.completed;
    }

    /** Returns how many answers were incomplete, altered or belonged to another request. */
    public long wrongAnswers() {
      return total.wrongAnswers;
    }

    /** Returns how many requests were sent. */
    public long offered() {
      return total.offered;
    }
  }
}
