package org.cornelspoke.transport.loop;

import com.codahale.metrics.Counter;
import com.codahale.metrics.LockFreeExponentiallyDecayingReservoir;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import io.activej.common.time.Stopwatch;
import io.activej.eventloop.Eventloop;
import io.activej.eventloop.inspector.EventloopInspector;
import java.lang.System.Logger.Level;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cornelspoke.util.Assert;

/**
 * Observes one event loop: late scheduled tasks, long iterations, steps of the time of day and
 * listeners that can't accept. A late task with a long iteration means that the thread was busy or
 * did not run; a late task without one means that the loop did not consider the task due.
 *
 * <p>Confined to the thread of the loop.
 */
public final class EventLoopMonitor implements EventloopInspector, ArrivalClock {

  /** Delay of a scheduled task from which on a line is logged. */
  static final long LOGGED_DELAY_MILLIS = 250;

  /** Difference between the time of day and elapsed time that counts as a step. */
  static final long MIN_CLOCK_STEP_MILLIS = 250;

  private static final System.Logger LOGGER = System.getLogger(EventLoopMonitor.class.getName());

  private static final long TICK_MILLIS = 100;
  private static final long LONG_ITERATION_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  /** A poll that takes this long found no input that was ready before. */
  private static final long BLOCKED_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

  /** A poll that outlasts its time-out by this much was not run in time by the system. */
  private static final long OVERSLEPT_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final String name;
  private final LongSupplier wallClockMillis;
  private final LongSupplier nanoClock;
  private final Timer taskDelay;
  private final Timer longIterations;
  private final Counter clockSteps;
  private final AcceptGuard acceptGuard;
  private Eventloop reactor;
  private long expectedTickNanos;
  private long wallClockOffsetMillis;
  private boolean polling;
  private long pollStartNanos;
  private long pollTimeoutNanos;
  private long iterationStartNanos;
  private long earliestArrivalNanos;
  private long longestIterationNanos;

  /**
   * Creates a monitor.
   *
   * @param name name of the event loop in metrics and log lines
   */
  public EventLoopMonitor(String name, MetricRegistry metrics) {
    this(name, metrics, System::currentTimeMillis, System::nanoTime);
  }

  /**
   * Creates a monitor with the given clocks.
   *
   * @param wallClockMillis time of day
   * @param nanoClock elapsed time as of {@link System#nanoTime}
   */
  public EventLoopMonitor(
      String name, MetricRegistry metrics, LongSupplier wallClockMillis, LongSupplier nanoClock) {
    this.name = Assert.hasText(name, "name");
    this.wallClockMillis = Assert.notNull(wallClockMillis, "wallClockMillis");
    this.nanoClock = Assert.notNull(nanoClock, "nanoClock");
    this.taskDelay = timer(metrics, "eventloop." + name + ".task-delay");
    this.longIterations = timer(metrics, "eventloop." + name + ".long-iterations");
    this.clockSteps = metrics.counter("eventloop." + name + ".clock-steps");
    this.acceptGuard = new AcceptGuard(name, metrics);
    this.iterationStartNanos = nanoClock.getAsLong();
    this.earliestArrivalNanos = iterationStartNanos;
  }

  /** Starts to measure the delay of scheduled tasks and to guard the listeners of the loop. */
  public void start(Eventloop observed) {
    this.reactor = Assert.notNull(observed, "observed");
    wallClockOffsetMillis = wallClockOffsetMillis();
    scheduleTick();
  }

  @Override
  public long earliestArrivalNanos() {
    return earliestArrivalNanos;
  }

  /** Called before each poll of the selector. */
  @Override
  public void onUpdateSelectorSelectTimeout(long selectorSelectTimeoutMillis) {
    pollStartNanos = nanoClock.getAsLong();
    pollTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(Math.max(0, selectorSelectTimeoutMillis));
    polling = true;
    recordIteration(pollStartNanos - iterationStartNanos);
  }

  /** Called when the loop reads its clock; the first time after a poll starts an iteration. */
  void onClockRead() {
    if (!polling) {
      return;
    }
    polling = false;
    long previousStartNanos = iterationStartNanos;
    iterationStartNanos = nanoClock.getAsLong();
    long pollNanos = iterationStartNanos - pollStartNanos;
    if (pollNanos >= pollTimeoutNanos + OVERSLEPT_POLL_NANOS) {
      earliestArrivalNanos = pollStartNanos;
    } else if (pollNanos >= BLOCKED_POLL_NANOS) {
      earliestArrivalNanos = iterationStartNanos;
    } else {
      earliestArrivalNanos = previousStartNanos;
    }
  }

  /** Returns the time of day in milliseconds since the epoch. */
  long wallClockMillis() {
    return wallClockMillis.getAsLong();
  }

  /** Returns elapsed time as of {@link System#nanoTime}. */
  long nanoTime() {
    return nanoClock.getAsLong();
  }

  private void recordIteration(long durationNanos) {
    longestIterationNanos = Math.max(longestIterationNanos, durationNanos);
    if (durationNanos >= LONG_ITERATION_NANOS) {
      longIterations.update(durationNanos, TimeUnit.NANOSECONDS);
    }
  }

  private void scheduleTick() {
    expectedTickNanos = nanoClock.getAsLong() + TimeUnit.MILLISECONDS.toNanos(TICK_MILLIS);
    reactor.delayBackground(TICK_MILLIS, this::tick);
  }

  private void tick() {
    long nowNanos = nanoClock.getAsLong();
    long delayNanos = Math.max(0, nowNanos - expectedTickNanos);
    taskDelay.update(delayNanos, TimeUnit.NANOSECONDS);
    long offsetMillis = wallClockOffsetMillis();
    long stepMillis = offsetMillis - wallClockOffsetMillis;
    boolean stepped = Math.abs(stepMillis) >= MIN_CLOCK_STEP_MILLIS;
    if (stepped) {
      clockSteps.inc();
    }
    wallClockOffsetMillis = offsetMillis;
    long delayMillis = TimeUnit.NANOSECONDS.toMillis(delayNanos);
    if (stepped || delayMillis >= LOGGED_DELAY_MILLIS) {
      long runningNanos = nowNanos - iterationStartNanos;
      LOGGER.log(
          Level.WARNING,
          "event=loop-delayed loop="
              + name
              + " delayMillis="
              + delayMillis
              + " longestIterationMillis="
              + TimeUnit.NANOSECONDS.toMillis(Math.max(longestIterationNanos, runningNanos))
              + " clockStepMillis="
              + stepMillis);
    }
    longestIterationNanos = 0;
    scheduleTick();
  }

  private long wallClockOffsetMillis() {
    return wallClockMillis.getAsLong() - TimeUnit.NANOSECONDS.toMillis(nanoClock.getAsLong());
  }

  private static Timer timer(MetricRegistry metrics, String name) {
    return metrics.timer(
        name, () -> new Timer(LockFreeExponentiallyDecayingReservoir.builder().build()));
  }

  @Override
  public <T extends EventloopInspector> T lookup(Class<T> type) {
    return type.isInstance(this) ? type.cast(this) : null;
  }

  @Override
  public void onUpdateBusinessLogicTime(
      boolean taskOrKeyPresent, boolean externalTaskPresent, long businessLogicTime) {}

  @Override
  public void onUpdateSelectorSelectTime(long selectorSelectTime) {}

  @Override
  public void onUpdateSelectedKeyDuration(Stopwatch stopwatch) {}

  @Override
  public void onUpdateSelectedKeysStats(
      int lastSelectedKeys,
      int invalidKeys,
      int acceptKeys,
      int connectKeys,
      int readKeys,
      int writeKeys,
      long loopTime) {
    if (acceptKeys > 0 && reactor != null) {
      acceptGuard.onListenersReady(reactor);
    }
  }

  @Override
  public void onUpdateLocalTaskDuration(Runnable runnable, Stopwatch stopwatch) {}

  @Override
  public void onUpdateLocalTasksStats(int localTasks, long loopTime) {}

  @Override
  public void onUpdateConcurrentTaskDuration(Runnable runnable, Stopwatch stopwatch) {}

  @Override
  public void onUpdateConcurrentTasksStats(int newConcurrentTasks, long loopTime) {}

  @Override
  public void onUpdateScheduledTaskDuration(
      Runnable runnable, Stopwatch stopwatch, boolean background) {}

  @Override
  public void onUpdateScheduledTasksStats(int scheduledTasks, long loopTime, boolean background) {}

  @Override
  public void onFatalError(Throwable exception, Object context) {}

  @Override
  public void onScheduledTaskOverdue(long overdue, boolean background) {}
}
