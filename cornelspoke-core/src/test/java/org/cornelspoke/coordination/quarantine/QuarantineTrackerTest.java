package org.cornelspoke.coordination.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.cornelspoke.coordination.dissemination.ControlMessage.QuarantineUpdate;
import org.cornelspoke.model.RequestFingerprint;
import org.cornelspoke.state.quarantine.QuarantineState;
import org.junit.jupiter.api.Test;

class QuarantineTrackerTest {

  private static final RequestFingerprint A = new RequestFingerprint("a".repeat(32));
  private static final RequestFingerprint B = new RequestFingerprint("b".repeat(32));
  private static final long HASH = 7;

  private final QuarantineTracker tracker = new QuarantineTracker();

  @Test
  void suspectedRequestsAreForwardedAndBlockedOnesRefused() {
    apply(1, false, A, QuarantineState.SUSPECTED);
    assertThat(refuses(A, 0)).isFalse();
    apply(2, false, A, QuarantineState.BLOCKED);
    assertThat(refuses(A, Long.MAX_VALUE / 2)).isTrue();
    assertThat(refuses(B, 0)).isFalse();
  }

  /** Guards against a request that is refused for good on the evidence of two crashes. */
  @Test
  void heldRequestIsForwardedAfterTheHold() {
    apply(1, false, A, QuarantineState.HELD);
    assertThat(refuses(A, QuarantinedRequest.HOLD_NANOS - 1)).isTrue();
    assertThat(refuses(A, QuarantinedRequest.HOLD_NANOS)).isFalse();
  }

  /** Guards against a daemon that forgets a blocked request when it attaches to a lagging relay. */
  @Test
  void updateOfALaggingRelayIsIgnored() {
    apply(5, false, A, QuarantineState.BLOCKED);
    apply(4, true, B, QuarantineState.SUSPECTED);
    assertThat(refuses(A, 0)).isTrue();
    assertThat(tracker.version()).isEqualTo(5);
  }

  @Test
  void clearedAndDroppedRequestsAreForwarded() {
    apply(1, false, A, QuarantineState.BLOCKED);
    apply(2, false, B, QuarantineState.BLOCKED);
    apply(3, false, A, QuarantineState.CLEARED);
    assertThat(refuses(A, 0)).isFalse();
    assertThat(refuses(B, 0)).isTrue();
    apply(4, true, A, QuarantineState.SUSPECTED);
    assertThat(refuses(B, 0)).isFalse();
  }

  /** Guards against bodies that are read for each request while any request is known. */
  @Test
  void fingerprintIsComputedOnlyForAKnownHead() {
    apply(1, false, A, QuarantineState.BLOCKED);
    boolean refused =
        tracker
            .current()
            .refuses(
                HASH + 1,
                () -> {
                  throw new AssertionError("computed for another head");
                },
                0);
    assertThat(refused).isFalse();
  }

  private boolean refuses(RequestFingerprint fingerprint, long nowNanos) {
    return tracker.current().refuses(HASH, () -> fingerprint, nowNanos);
  }

  private void apply(
      long version, boolean full, RequestFingerprint fingerprint, QuarantineState state) {
    tracker.apply(
        new QuarantineUpdate(
            version, full, List.of(new QuarantineUpdate.Item(fingerprint, HASH, state))),
        0);
  }
}
