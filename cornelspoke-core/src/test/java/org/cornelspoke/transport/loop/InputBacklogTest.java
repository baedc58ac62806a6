package org.cornelspoke.transport.loop;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.junit.jupiter.api.Test;

class InputBacklogTest {

  private long nowNanos = InputBacklog.LATE_NANOS * 10;
  private final Queue<Runnable> nextIteration = new ArrayDeque<>();
  private final List<String> handled = new ArrayList<>();
  private final InputBacklog backlog =
      new InputBacklog(() -> nowNanos, () -> nowNanos, nextIteration::add, true);

  @Test
  void requestsAreHandledAtOnceWhileTheLoopKeepsUp() {
    backlog.submit(nowNanos, () -> handled.add("a"));
    assertThat(handled).containsExactly("a");
  }

  @Test
  void lateRequestsAreHandledInOrderAfterTheNextPoll() {
    backlog.submit(nowNanos - InputBacklog.LATE_NANOS, () -> handled.add("a"));
    backlog.submit(nowNanos, () -> handled.add("b"));
    assertThat(handled).isEmpty();
    runIteration();
    assertThat(handled).containsExactly("a", "b").inOrder();
  }

  @Test
  void theLoopPollsBetweenTurnsOfLimitedTime() {
    for (int i = 0; i < 3; i++) {
      backlog.submit(nowNanos - InputBacklog.LATE_NANOS, () -> nowNanos += InputBacklog.TURN_NANOS);
    }
    runIteration();
    assertThat(backlog.size()).isEqualTo(2);
  }

  @Test
  void anExceptionOfOneHandlerDoesNotKeepTheOthersWaiting() {
    backlog.submit(
        nowNanos - InputBacklog.LATE_NANOS,
        () -> {
          throw new IllegalStateException("handler");
        });
    backlog.submit(nowNanos, () -> handled.add("b"));
    assertThrows(IllegalStateException.class, this::runIteration);
    runIteration();
    assertThat(handled).containsExactly("b");
  }

  private void runIteration() {
    nextIteration.remove().run();
  }
}
