package org.cornelspoke.coordination.dissemination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.state.registry.Registry;
import org.cornelspoke.state.registry.RegistryChange;
import org.cornelspoke.state.registry.RegistrySnapshot;
import org.cornelspoke.util.Assert;

/**
 * Decides at the leader which targets have lost their daemon. A daemon counts as present for one
 * lease after a relay has reported it or one of its targets has changed. A new leader starts with a
 * whole lease for every daemon, because it does not know what was reported to its predecessor.
 *
 * <p>Not safe for use by several threads; the control thread owns it.
 */
public final class AttachmentTracker {

  private static final long UNSEEN = -1;

  private final long leaseNanos;
  private final Map<DaemonId, Long> seenAtNanos = new HashMap<>();
  private long term = -1;
  private long ledSinceNanos;
  private long seenVersion = UNSEEN;

  /** Creates a tracker that does not lead. */
  public AttachmentTracker(long leaseNanos) {
    Assert.isTrue(leaseNanos > 0, "leaseNanos must be positive");
    this.leaseNanos = leaseNanos;
  }

  /** Notes that this member leads in a term. Call it before each use. */
  public void lead(long currentTerm, long nowNanos) {
    if (term != currentTerm) {
      term = currentTerm;
      ledSinceNanos = nowNanos;
      seenAtNanos.clear();
      seenVersion = UNSEEN;
    }
  }

  /** Notes that this member does not lead. */
  public void follow() {
    term = -1;
  }

  /** Notes that the daemons are attached to a relay. */
  public void report(Collection<DaemonId> daemons, long nowNanos) {
    daemons.forEach(daemon -> seenAtNanos.put(daemon, nowNanos));
  }

  /** Returns the removals that are due; empty while this member does not lead. */
  public List<RegistryChange> expired(Registry registry, long nowNanos) {
    List<RegistryChange> due = new ArrayList<>();
    if (term < 0) {
      return due;
    }
    for (RegistrySnapshot.Entry entry : registry.targets()) {
      DaemonId daemon = entry.target().orElseThrow().daemon();
      if (seenVersion != UNSEEN && entry.version() > seenVersion) {
        seenAtNanos.put(daemon, nowNanos);
      }
      long seenAt = seenAtNanos.getOrDefault(daemon, ledSinceNanos);
      if (nowNanos - Math.max(seenAt, ledSinceNanos) > leaseNanos) {
        due.add(new RegistryChange.Expire(entry.id(), entry.version()));
      }
    }
    seenVersion = registry.version();
    return due;
  }
}
