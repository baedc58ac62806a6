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
 * Determines, on the leader, which targets must be removed because their daemon is gone. A daemon
 * counts as attached for one lease duration after a relay reported it or one of its targets
 * changed. A new leader grants every daemon a full lease, because it does not know what was
 * reported to its predecessor.
 *
 * <p>Not thread-safe; must be used on the control thread only.
 */
public final class AttachmentTracker {

  private static final long NO_VERSION = -1;

  private final long leaseDurationNanos;
  private final Map<DaemonId, Long> lastSeenAtNanos = new HashMap<>();
  private long term = -1;
  private long leadershipStartNanos;
  private long lastCheckedVersion = NO_VERSION;

  /** Creates a tracker for a member that is not the leader. */
  public AttachmentTracker(long leaseDurationNanos) {
    Assert.isTrue(leaseDurationNanos > 0, "leaseDurationNanos must be positive");
    this.leaseDurationNanos = leaseDurationNanos;
  }

  /** Records that this member leads in the given term. Must be called before each use. */
  public void startLeading(long currentTerm, long nowNanos) {
    if (term != currentTerm) {
      term = currentTerm;
      leadershipStartNanos = nowNanos;
      lastSeenAtNanos.clear();
      lastCheckedVersion = NO_VERSION;
    }
  }

  /** Records that this member is not the leader. */
  public void stopLeading() {
    term = -1;
  }

  /** Renews the leases of daemons that are attached to a relay. */
  public void markAttached(Collection<DaemonId> daemons, long nowNanos) {
    daemons.forEach(daemon -> lastSeenAtNanos.put(daemon, nowNanos));
  }

  /** Returns removals for targets with an expired lease; empty if this member is not the leader. */
  public List<RegistryChange> expiredTargets(Registry registry, long nowNanos) {
    List<RegistryChange> removals = new ArrayList<>();
    if (term < 0) {
      return removals;
    }
    for (RegistrySnapshot.Entry entry : registry.targets()) {
      DaemonId daemon = entry.target().orElseThrow().daemon();
      if (lastCheckedVersion != NO_VERSION && entry.version() > lastCheckedVersion) {
        lastSeenAtNanos.put(daemon, nowNanos);
      }
      long seenAtNanos = lastSeenAtNanos.getOrDefault(daemon, leadershipStartNanos);
      if (nowNanos - Math.max(seenAtNanos, leadershipStartNanos) > leaseDurationNanos) {
        removals.add(new RegistryChange.Expire(entry.id(), entry.version()));
      }
    }
    lastCheckedVersion = registry.version();
    return removals;
  }
}
