package org.cornelspoke.daemon.runtime;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class AbstractRuntimeTest {

  @Test
  void failureEndsTheDaemonGracefully() throws Exception {
    FakeRuntime runtime = new FakeRuntime(TimeUnit.SECONDS.toMillis(60), new CountDownLatch(0));
    runtime.start();
    assertThat(runtime.hasFailed()).isFalse();
    runtime.fail(new IllegalStateException("simulated"));
    runtime.awaitStop();
    assertThat(runtime.hasFailed()).isTrue();
    assertThat(runtime.stops.get()).isEqualTo(1);
  }

  @Test
  void shutdownHookReturnsAfterAFailureHasStoppedTheDaemon() throws Exception {
    FakeRuntime runtime = new FakeRuntime(TimeUnit.SECONDS.toMillis(60), new CountDownLatch(0));
    runtime.start();
    runtime.fail(new IllegalStateException("simulated"));
    runtime.stop();
    assertThat(runtime.stops.get()).isEqualTo(1);
  }

  @Test
  void failureEndsTheDaemonAlthoughItsResourcesAreNeverReleased() throws Exception {
    FakeRuntime runtime = new FakeRuntime(100, new CountDownLatch(1));
    runtime.start();
    runtime.fail(new IllegalStateException("simulated"));
    runtime.awaitStop();
    runtime.stop();
    assertThat(runtime.hasFailed()).isTrue();
  }

  private static final class FakeRuntime extends AbstractRuntime {

    private final CountDownLatch released;
    private final AtomicInteger stops = new AtomicInteger();

    FakeRuntime(long failedStopTimeoutMillis, CountDownLatch released) {
      super("fake", failedStopTimeoutMillis);
      this.released = released;
    }

    @Override
    void startOnControlThread() {}

    @Override
    void stopOnControlThread() {
      stops.incrementAndGet();
    }

    @Override
    void awaitResourcesReleased() throws InterruptedException {
      released.await();
    }
  }
}
