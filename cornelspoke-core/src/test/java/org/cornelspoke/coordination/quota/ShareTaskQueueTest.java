package org.cornelspoke.coordination.quota;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class ShareTaskQueueTest {

  private static final long MILLI = 1_000_000;

  private long nowNanos;
  private final ShareTaskQueue queue = new ShareTaskQueue(() -> nowNanos);

  @Test
  void delayAndUseOfTasksAreMeasuredSinceTheLastCall() {
    for (int i = 0; i < 3; i++) {
      queue.add(() -> nowNanos += 4 * MILLI);
    }
    nowNanos += 20 * MILLI;
    queue.run();
    assertThat(queue.size()).isEqualTo(1);
    assertThat(queue.takeMaxDelayNanos()).isEqualTo(24 * MILLI);
    assertThat(queue.takeUsedNanos()).isEqualTo(8 * MILLI);
    assertThat(queue.takeMaxDelayNanos()).isEqualTo(0);
    assertThat(queue.takeUsedNanos()).isEqualTo(0);
  }
}
