package org.cornelspoke.coordination.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

class UpstreamNoticeTrackerTest {

  private static final UpstreamNotice LIMITED = new UpstreamNotice(OptionalDouble.of(12.5), false);
  private static final UpstreamNotice LEAVING = new UpstreamNotice(OptionalDouble.empty(), true);

  private final UpstreamNoticeTracker tracker = new UpstreamNoticeTracker();

  /** Guards against a limit that ends by a response written before it began. */
  @Test
  void responseToAnEarlierRequestDoesNotEndTheLimit() {
    assertThat(tracker.onResponse(LIMITED, 10, 20)).isTrue();
    assertThat(tracker.onResponse(UpstreamNotice.NONE, 15, 30)).isFalse();
    assertThat(tracker.current()).isEqualTo(LIMITED);
    assertThat(tracker.onResponse(UpstreamNotice.NONE, 25, 40)).isTrue();
    assertThat(tracker.current()).isEqualTo(UpstreamNotice.NONE);
  }

  /** Guards against a process that is used again because one response omits its departure. */
  @Test
  void leavingProcessStaysLeaving() {
    assertThat(tracker.onResponse(LEAVING, 10, 20)).isTrue();
    assertThat(tracker.onResponse(UpstreamNotice.NONE, 30, 40)).isFalse();
    assertThat(tracker.current().leaving()).isTrue();
  }

  /** Guards against stale limits of other daemons that replace what the process states itself. */
  @Test
  void earlierLimitCountsUntilTheFirstResponse() {
    assertThat(tracker.onEarlierNotice(LIMITED, 10)).isTrue();
    assertThat(tracker.current()).isEqualTo(LIMITED);
    assertThat(tracker.onResponse(UpstreamNotice.NONE, 20, 30)).isTrue();
    assertThat(tracker.onEarlierNotice(LIMITED, 40)).isFalse();
    assertThat(tracker.current()).isEqualTo(UpstreamNotice.NONE);
    assertThat(tracker.onEarlierNotice(LEAVING, 50)).isTrue();
    assertThat(tracker.current().leaving()).isTrue();
  }
}
