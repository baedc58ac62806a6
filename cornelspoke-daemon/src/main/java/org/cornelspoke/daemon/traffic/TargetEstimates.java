package org.cornelspoke.daemon.traffic;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.coordination.admission.WorkKind;
import org.cornelspoke.coordination.routing.RequestKind;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.protocol.call.TargetEstimate;

/**
 * Remembers the estimates that targets sent with their responses, so that a daemon that restarts
 * beside an upstream gets them back. They are sent after the target has not responded for a while;
 * a daemon that responds has them.
 *
 * <p>Not thread-safe.
 */
final class TargetEstimates {

  /** Bounds the memory for targets that no longer exist. */
  private static final int MAX_TARGETS = 10_000;

  /** Silence after which a target may have restarted. */
  private static final long MIN_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private static final class Remembered {
    private final TargetEstimate[] estimates = new TargetEstimate[WorkKind.COUNT];
    private long respondedAtNanos;
  }

  private final Map<TargetId, Remembered> targets =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<TargetId, Remembered> eldest) {
          return size() > MAX_TARGETS;
        }
      };

  /** Returns the estimate to send to a target with a call. */
  Optional<TargetEstimate> toReturn(TargetId target, RequestKind kind, long nowNanos) {
    Remembered remembered = targets.get(target);
    return remembered == null || nowNanos - remembered.respondedAtNanos < MIN_SILENCE_NANOS
        ? Optional.empty()
        : Optional.ofNullable(remembered.estimates[kind.workKind().index()]);
  }

  /**
   * Records the estimate of a response. One without an estimate doesn't end the silence of a
   * target: it comes from a daemon that has just restarted, or of an earlier build.
   */
  void onResponse(
      TargetId target, RequestKind kind, Optional<TargetEstimate> estimate, long nowNanos) {
    if (estimate.isPresent()) {
      Remembered remembered = targets.computeIfAbsent(target, id -> new Remembered());
      remembered.estimates[kind.workKind().index()] = estimate.get();
      remembered.respondedAtNanos = nowNanos;
    }
  }
}
