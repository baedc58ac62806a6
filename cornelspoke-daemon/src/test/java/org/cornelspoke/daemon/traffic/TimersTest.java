package org.cornelspoke.daemon.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.activej.eventloop.Eventloop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class TimersTest {

  private static final long WAIT_SECONDS = 30;

  private final Eventloop reactor =
      Eventloop.builder().withFatalErrorHandler((exception, context) -> {}).build();
  private final Thread thread = new Thread(reactor, "timers-test");

  @BeforeEach
  void startLoop() {
    reactor.keepAlive(true);
    thread.start();
  }

  @AfterEach
  void stopLoop() throws InterruptedException {
    reactor.keepAlive(false);
    reactor.execute(reactor::breakEventloop);
    thread.join();
  }

  @Test
  void timersRunAfterATaskHasThrown() throws Exception {
    Timers timers = new Timers(reactor);
    CompletableFuture<String> result = new CompletableFuture<>();
    reactor.execute(
        () -> {
          long nowNanos = System.nanoTime();
          timers.schedule(
              nowNanos,
              () -> {
                throw new IllegalStateException("task");
              });
          timers.schedule(
              nowNanos + TimeUnit.MILLISECONDS.toNanos(200), () -> result.complete("ran"));
        });
    assertThat(result.get(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("ran");
  }
}
