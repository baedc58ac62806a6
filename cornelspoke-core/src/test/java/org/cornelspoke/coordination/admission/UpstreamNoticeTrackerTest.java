package org.cornelspoke.coordination.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

class UpstreamNoticeTrackerTest {

  private static final UpstreamNotice LIMITED = new UpstreamNotice(OptionalDouble.of(12.5), false);
  private static final UpstreamNotice LEAVING = new UpstreamNotice(OptionalDouble.empty(), true);

  private final UpstreamNoticeTracker tracker = new UpstreamNoticeTracker(0);

  /** Guards against a limit that ends by a response written before it began. */
  @Test
  void responseToAnEarlierRequestDoesNotEndTheLimit() {
    tracker.onResponse(LIMITED, 10, 20);
    assertThat(tracker.current(20)).isEqualTo(LIMITED);
    tracker.onResponse(UpstreamNotice.NONE, 15, 30);
    assertThat(tracker.current(30)).isEqualTo(LIMITED);
    tracker.onResponse(UpstreamNotice.NONE, 25, 40);
    assertThat(tracker.current(40)).isEqualTo(UpstreamNotice.NONE);
  }

  /** Guards against a process that is used again because one response omits its departure. */
  @Test
  void leavingProcessStaysLeaving() {
    tracker.onResponse(LEAVING, 10, 20);
    assertThat(tracker.current(20)).isEqualTo(LEAVING);
    tracker.onResponse(UpstreamNotice.NONE, 30, 40);
    assertThat(tracker.current(40)).isEqualTo(LEAVING);
    assertThat(tracker.isLeaving()).isTrue();
  }

  /** Guards against stale limits of other daemons that replace what the process states itself. */
  @Test
  void earlierLimitCountsUntilTheFirstResponse() {
    tracker.onEarlierNotice(LIMITED, 10);
    assertThat(tracker.current(10)).isEqualTo(LIMITED);
    tracker.onResponse(UpstreamNotice.NONE, 20, 30);
    assertThat(tracker.current(30)).isEqualTo(UpstreamNotice.NONE);
    tracker.onEarlierNotice(LIMITED, 40);
    assertThat(tracker.current(40)).isEqualTo(UpstreamNotice.NONE);
    tracker.onEarlierNotice(LEAVING, 50);
    assertThat(tracker.current(50)).isEqualTo(LEAVING);
  }
}
