package org.cornelspoke.coordination.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongToDoubleFunction;
import org.junit.jupiter.api.Test;

class LimitTrialTest {

  private static final long MILLI = 1_000_000L;
  private static final long WORK_NANOS = 20 * MILLI;
  private static final int LIMIT = 20;
  private static final int OTHER_LIMIT = 12;

  private final LimitTrial trial = new LimitTrial(LIMIT, OTHER_LIMIT, 100 * MILLI, 0, 0);

  /** Guards against overload that looks like a knee: work times don't change, so all is lost. */
  @Test
  void equalWorkTimesMeanThatALowerLimitServesLess() {
    assertThat(play(now -> 1)).isEqualTo(LimitTrial.Result.MEASURED);
    assertThat(trial.step()).isWithin(0.1).of(Math.log((double) OTHER_LIMIT / LIMIT));
    assertThat(trial.gain()).isWithin(0.05).of(trial.step());
  }

  /** Guards against the end of a slow period that looks like the effect of the lower limit. */
  @Test
  void slowPeriodThatEndsDuringTheTrialDiscardsIt() {
    assertThat(play(now -> now < 320 * MILLI ? 2.5 : 1)).isEqualTo(LimitTrial.Result.DISCARDED);
  }

  /** Guards against the start of a slow period that looks like the effect of the higher limit. */
  @Test
  void slowPeriodThatStartsDuringTheTrialDiscardsIt() {
    assertThat(play(now -> now > 500 * MILLI ? 2.5 : 1)).isEqualTo(LimitTrial.Result.DISCARDED);
  }

  /** Keeps as many requests in flight as the limit permits and plays them in steps of 1 ms. */
  private LimitTrial.Result play(LongToDoubleFunction relativeWork) {
    Deque<Long> sentTimes = new ArrayDeque<>();
    for (long now = 0; now < 5_000 * MILLI; now += MILLI) {
      if (!sentTimes.isEmpty() && now - sentTimes.peek() >= WORK_NANOS) {
        trial.onCompletion(sentTimes.size() >= trial.limit());
        long sentAtNanos = sentTimes.poll();
        LimitTrial.Result result =
            trial.onEnded(relativeWork.applyAsDouble(sentAtNanos), sentAtNanos, now);
        if (result != LimitTrial.Result.RUNNING) {
          return result;
        }
      }
      if (sentTimes.size() < trial.limit()) {
        sentTimes.add(now);
        trial.onSent(sentTimes.size(), now);
      }
    }
    return LimitTrial.Result.RUNNING;
  }
}
