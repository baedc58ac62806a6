package org.cornelspoke.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import org.cornelspoke.daemon.runtime.DaemonFactory;
import org.junit.jupiter.api.Test;

class StopHookTest {

  private static final long WAIT_MILLIS = 10_000;

  private final AtomicInteger stops = new AtomicInteger();
  private final StopHook hook = new StopHook();
  private final Thread shutdown = new Thread(hook, "shutdown");

  /** Guards against a SIGTERM during the start that ends the process without a graceful stop. */
  @Test
  void daemonThatIsStillStartingIsStoppedOnceStarted() throws Exception {
    shutdown.start();
    assertThat(stops.get()).isEqualTo(0);
    hook.onStarted(new FakeDaemon());
    shutdown.join(WAIT_MILLIS);
    assertThat(stops.get()).isEqualTo(1);
  }

  /** Guards against a failed start that never exits, because the hook waits for the start. */
  @Test
  void failedStartDoesNotDelayTheExit() throws Exception {
    shutdown.start();
    hook.onStartFailed();
    shutdown.join(WAIT_MILLIS);
    assertThat(shutdown.isAlive()).isFalse();
  }

  private final class FakeDaemon implements DaemonFactory.Daemon {

    @Override
    public void start() {}

    @Override
    public void awaitStop() {}

    @Override
    public void stop() {
      stops.incrementAndGet();
    }
  }
}
