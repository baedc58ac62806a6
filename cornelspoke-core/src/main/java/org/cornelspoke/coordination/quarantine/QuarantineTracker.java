package org.cornelspoke.coordination.quarantine;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.cornelspoke.coordination.dissemination.ControlMessage;
import org.cornelspoke.model.RequestFingerprint;
import org.cornelspoke.state.quarantine.QuarantineState;
import org.cornelspoke.state.quarantine.QuarantineTable;

/**
 * Applies the updates that a daemon receives of the quarantine table. Versions never decrease; a
 * relay that is behind sends nothing new.
 *
 * <p>Not thread-safe; must be used on the control thread only.
 */
public final class QuarantineTracker {

  private final Map<RequestFingerprint, QuarantinedRequest> requests = new LinkedHashMap<>();
  private long version;

  /** Returns the version up to which all updates are applied. */
  public long version() {
    return version;
  }

  /**
   * Applies an update.
   *
   * @return true if the known requests have changed
   */
  public boolean apply(ControlMessage.QuarantineUpdate update, long nowNanos) {
    if (update.to() <= version) {
      return false;
    }
    if (update.full()) {
      Set<RequestFingerprint> named = new HashSet<>();
      update.entries().forEach(item -> named.add(item.fingerprint()));
      requests.keySet().retainAll(named);
    }
    update.entries().forEach(item -> apply(item, nowNanos));
    version = update.to();
    dropExcess();
    return true;
  }

  /** Returns what is known at present. */
  public Quarantine current() {
    return requests.isEmpty() ? Quarantine.EMPTY : new Quarantine(requests);
  }

  private void apply(ControlMessage.QuarantineUpdate.Item item, long nowNanos) {
    if (item.state() == QuarantineState.CLEARED) {
      requests.remove(item.fingerprint());
      return;
    }
    QuarantinedRequest known = requests.remove(item.fingerprint());
    long sinceNanos =
        known != null && known.state() == item.state() ? known.stateSinceNanos() : nowNanos;
    requests.put(
        item.fingerprint(),
        new QuarantinedRequest(item.fingerprint(), item.headHash(), item.state(), sinceNanos));
  }

  /** Drops suspected requests that the control group may have dropped without notice. */
  private void dropExcess() {
    int excess = requests.size() - QuarantineTable.MAX_ENTRIES;
    if (excess > 0) {
      requests.values().stream()
          .filter(request -> request.state() == QuarantineState.SUSPECTED)
          .map(QuarantinedRequest::fingerprint)
          .limit(excess)
          .toList()
          .forEach(requests::remove);
    }
  }
}
