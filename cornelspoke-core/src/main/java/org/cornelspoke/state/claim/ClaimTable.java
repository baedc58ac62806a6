package org.cornelspoke.state.claim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.CallId;

/**
 * Claims of requests that must run at most once. The table's time is the latest timestamp of the
 * applied commands, so that all replicas expire the same claims.
 *
 * <p>Deterministic. Not thread-safe; confined to the control thread.
 */
public final class ClaimTable {

  /** Maximum number of claims of one account. */
  public static final int MAX_CLAIMS_PER_ACCOUNT = 100_000;

  /** Time after which a claim expires. */
  public static final long RETENTION_MILLIS = 24L * 60 * 60 * 1_000;

  /**
   * Time for which a released attempt is retained, so that a duplicate of its claim command that is
   * committed late does not place the claim again. Proposals time out after seconds.
   */
  static final long RELEASED_RETENTION_MILLIS = 10L * 60 * 1_000;

  /** Maximum number of retained released attempts; bounds their memory to about 10 MB. */
  static final int MAX_RELEASED_ATTEMPTS = 100_000;

  private final int maxClaimsPerAccount;
  private final Map<AccountId, Map<ClaimKey, Claim>> claimsByAccount =
      new TreeMap<>(Comparator.comparing(AccountId::value));
  private final Map<CallId, Long> releasedAttempts = new LinkedHashMap<>();
  private long timestampMillis;

  /** Creates an empty table with the default limit. */
  public ClaimTable() {
    this(MAX_CLAIMS_PER_ACCOUNT);
  }

  /** Creates an empty table; tests use a lower limit. */
  ClaimTable(int maxClaimsPerAccount) {
    this.maxClaimsPerAccount = maxClaimsPerAccount;
  }

  /**
   * Requests a claim. The attempt that holds the claim is granted it again, so that it can retry
   * after a lost reply.
   */
  public ClaimOutcome claim(
      ClaimKey key, CallId attempt, String fingerprintHex, long commandTimestampMillis) {
    advanceTime(commandTimestampMillis);
    Map<ClaimKey, Claim> claims =
        claimsByAccount.computeIfAbsent(key.account(), account -> new LinkedHashMap<>());
    evictExpired(claims);
    Claim claim = claims.get(key);
    if (claim != null) {
      if (!claim.fingerprintHex().equals(fingerprintHex)) {
        return new ClaimOutcome.Mismatch();
      }
      boolean isHolder =
          claim.attempt().equals(attempt) && claim.state() instanceof ClaimOutcome.Running;
      return isHolder ? new ClaimOutcome.Granted() : claim.state();
    }
    if (releasedAttempts.containsKey(attempt)) {
      return new ClaimOutcome.Running();
    }
    if (claims.size() >= maxClaimsPerAccount) {
      return new ClaimOutcome.TableFull();
    }
    claims.put(
        key, new Claim(key, attempt, fingerprintHex, timestampMillis, new ClaimOutcome.Running()));
    return new ClaimOutcome.Granted();
  }

  /**
   * Records that the request has run.
   *
   * @return false if the attempt does not hold the claim or has already completed it
   */
  public boolean complete(
      ClaimKey key,
      CallId attempt,
      Optional<StoredResponse> response,
      long commandTimestampMillis) {
    advanceTime(commandTimestampMillis);
    if (!isHeldBy(key, attempt)) {
      return false;
    }
    ClaimOutcome state =
        response.isPresent()
            ? new ClaimOutcome.Completed(response.get())
            : new ClaimOutcome.CompletedWithoutResponse();
    claimsByAccount
        .get(key.account())
        .computeIfPresent(
            key,
            (k, claim) ->
                new Claim(k, attempt, claim.fingerprintHex(), claim.timestampMillis(), state));
    return true;
  }

  /**
   * Releases a claim whose request has not run. If the claim has not been placed, the attempt is
   * recorded as released so that a claim command committed later does not place it.
   *
   * @return false if the attempt does not hold the claim or has completed it
   */
  public boolean release(ClaimKey key, CallId attempt, long commandTimestampMillis) {
    advanceTime(commandTimestampMillis);
    boolean held = isHeldBy(key, attempt);
    boolean notPlaced = !claimsOf(key).containsKey(key);
    if (held || notPlaced) {
      releasedAttempts.putIfAbsent(attempt, timestampMillis);
    }
    if (held) {
      claimsByAccount.get(key.account()).remove(key);
    }
    return held;
  }

  /** Returns the number of stored claims of the account, including expired ones. */
  public int size(AccountId account) {
    return claimsByAccount.getOrDefault(account, Map.of()).size();
  }

  /** Returns the complete state. */
  public ClaimTableSnapshot snapshot() {
    List<Claim> claims = new ArrayList<>();
    claimsByAccount.values().forEach(accountClaims -> claims.addAll(accountClaims.values()));
    List<ClaimTableSnapshot.ReleasedAttempt> releases = new ArrayList<>();
    releasedAttempts.forEach(
        (attempt, time) -> releases.add(new ClaimTableSnapshot.ReleasedAttempt(attempt, time)));
    return new ClaimTableSnapshot(timestampMillis, claims, releases);
  }

  /** Replaces the complete state. */
  public void restore(ClaimTableSnapshot snapshot) {
    claimsByAccount.clear();
    releasedAttempts.clear();
    timestampMillis = snapshot.timestampMillis();
    for (Claim claim : snapshot.claims()) {
      claimsByAccount
          .computeIfAbsent(claim.key().account(), account -> new LinkedHashMap<>())
          .put(claim.key(), claim);
    }
    snapshot
        .releasedAttempts()
        .forEach(entry -> releasedAttempts.put(entry.attempt(), entry.timestampMillis()));
  }

  private Map<ClaimKey, Claim> claimsOf(ClaimKey key) {
    return claimsByAccount.getOrDefault(key.account(), Map.of());
  }

  private boolean isHeldBy(ClaimKey key, CallId attempt) {
    Claim claim = claimsOf(key).get(key);
    return claim != null
        && claim.attempt().equals(attempt)
        && claim.state() instanceof ClaimOutcome.Running;
  }

  private void advanceTime(long commandTimestampMillis) {
    timestampMillis = Math.max(timestampMillis, commandTimestampMillis);
    Iterator<Long> iterator = releasedAttempts.values().iterator();
    while (iterator.hasNext()
        && (iterator.next() + RELEASED_RETENTION_MILLIS < timestampMillis
            || releasedAttempts.size() > MAX_RELEASED_ATTEMPTS)) {
      iterator.remove();
    }
  }

  private void evictExpired(Map<ClaimKey, Claim> claims) {
    Iterator<Claim> iterator = claims.values().iterator();
    while (iterator.hasNext()
        && iterator.next().timestampMillis() + RETENTION_MILLIS < timestampMillis) {
      iterator.remove();
    }
  }
}
