package org.cornelspoke.daemon.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.activej.eventloop.Eventloop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class TimersTest {

  /** Guards against deadlines that never expire after the task of one timer has failed. */
  @Test
  void timersExpireAfterTheTaskOfAnotherFailed() throws Exception {
    Eventloop reactor = Eventloop.builder().withFatalErrorHandler((e, context) -> {}).build();
    reactor.keepAlive(true);
    Thread thread = new Thread(reactor, "timers");
    thread.setDaemon(true);
    thread.start();
    CountDownLatch expired = new CountDownLatch(3);
    reactor.execute(
        () -> {
          Timers timers = new Timers(reactor);
          long nanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(20);
          timers.schedule(nanos, expired::countDown);
          timers.schedule(
              nanos,
              () -> {
                throw new IllegalStateException("simulated");
              });
          timers.schedule(nanos, expired::countDown);
          timers.schedule(nanos + TimeUnit.MILLISECONDS.toNanos(50), expired::countDown);
        });
    try {
      assertThat(expired.await(10, TimeUnit.SECONDS)).isTrue();
    } finally {
      reactor.execute(reactor::breakEventloop);
      thread.join();
    }
  }
}
