package org.cornelspoke.daemon.traffic;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.protocol.call.TargetNotice;

/**
 * Remembers the notices that this daemon has received from upstreams with their responses, so that
 * a daemon that restarts beside an upstream gets them back with the next call.
 *
 * <p>Not thread-safe.
 */
final class TargetNotices {

  /** Bounds the memory for targets that no longer exist. */
  private static final int MAX_TARGETS = 10_000;

  /**
   * A notice with the time at which it was received.
   *
   * @param receivedAtNanos monotonic time
   */
  private record Received(TargetNotice notice, long receivedAtNanos) {}

  private final Map<TargetId, Received> notices =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<TargetId, Received> eldest) {
          return size() > MAX_TARGETS;
        }
      };

  /** Returns the latest notice of a target, or empty if it stated nothing. */
  Optional<TargetNotice> of(TargetId target, long nowNanos) {
    Received received = notices.get(target);
    return received == null
        ? Optional.empty()
        : received.notice.after(TimeUnit.NANOSECONDS.toMillis(nowNanos - received.receivedAtNanos));
  }

  /** Records the notice that was in force when a target responded. */
  void onResponse(TargetId target, Optional<TargetNotice> notice, long nowNanos) {
    if (notice.isPresent()) {
      notices.put(target, new Received(notice.get(), nowNanos));
    } else {
      // A process that is leaving remains so, even if a later response lacks the notice.
      notices.computeIfPresent(
          target, (id, previous) -> previous.notice.notice().leaving() ? previous : null);
    }
  }
}
