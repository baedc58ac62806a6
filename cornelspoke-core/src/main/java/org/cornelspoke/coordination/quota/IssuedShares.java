package org.cornelspoke.coordination.quota;

/**
 * What an owner counts as issued to one holder, over all accounts.
 *
 * @param share sum of the rates and bursts, without tokens
 * @param reportedAtNanos time of the holder's last report
 * @param countedUntilNanos time until which the share, or the longest lived part of it, counts as
 *     issued if the holder reports no more
 */
public record IssuedShares(TokenShare share, long reportedAtNanos, long countedUntilNanos) {

  IssuedShares plus(IssuedShares other) {
    return new IssuedShares(
        share.merge(other.share),
        reportedAtNanos - other.reportedAtNanos > 0 ? reportedAtNanos : other.reportedAtNanos,
        countedUntilNanos - other.countedUntilNanos > 0
            ? countedUntilNanos
            : other.countedUntilNanos);
  }
}
