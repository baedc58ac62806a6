package org.cornelspoke.state.claim;

import java.util.List;
import org.cornelspoke.model.CallId;

/**
 * The whole of a {@link ClaimTable}, for snapshots.
 *
 * @param claims in order of placement within each account
 * @param released in order of release
 */
public record ClaimImage(long timestampMillis, List<Claim> claims, List<Released> released) {

  /** Copies the lists. */
  public ClaimImage {
    claims = List.copyOf(claims);
    released = List.copyOf(released);
  }

  /** An attempt that gave up its claim. */
  public record Released(CallId attempt, long timestampMillis) {}
}
