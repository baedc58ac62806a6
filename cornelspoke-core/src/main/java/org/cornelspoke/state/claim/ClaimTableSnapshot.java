package org.cornelspoke.state.claim;

import java.util.List;
import org.cornelspoke.model.CallId;

/**
 * Complete state of a {@link ClaimTable}, for snapshots.
 *
 * @param timestampMillis latest command timestamp seen
 * @param claims in order of placement within each account
 * @param releasedAttempts in order of release
 */
public record ClaimTableSnapshot(
    long timestampMillis, List<Claim> claims, List<ReleasedAttempt> releasedAttempts) {

  /** Copies the lists. */
  public ClaimTableSnapshot {
    claims = List.copyOf(claims);
    releasedAttempts = List.copyOf(releasedAttempts);
  }

  /** An attempt that released its claim, or that ended before its claim was placed. */
  public record ReleasedAttempt(CallId attempt, long timestampMillis) {}
}
