package org.cornelspoke.coordination.admission;

import java.util.Collection;
import org.cornelspoke.model.RefusalReason;

/**
 * States for which a gate admits nothing, and the refusals while one of them lasts.
 *
 * <p>Not safe for use by several threads.
 */
final class GateClosure {

  private static final long RETRY_AFTER_MILLIS = 1_000;

  private boolean draining;
  private boolean evacuated;

  void setDraining(boolean draining) {
    this.draining = draining;
  }

  void setEvacuated(boolean evacuated) {
    this.evacuated = evacuated;
  }

  boolean isClosed() {
    return draining || evacuated;
  }

  /** Refuses a request at a closed gate. */
  void refuse(GateEntry entry) {
    entry.end();
    entry
        .listener()
        .onRefused(draining ? RefusalReason.DRAINING : RefusalReason.EVACUATED, RETRY_AFTER_MILLIS);
  }

  /** Refuses all queued requests, so that callers can retry them at other targets. */
  void refuseWaiting(Collection<ClassQueue> queues) {
    for (ClassQueue queue : queues) {
      GateEntry entry = queue.pollNext(false);
      while (entry != null) {
        refuse(entry);
        entry = queue.pollNext(false);
      }
    }
  }
}
