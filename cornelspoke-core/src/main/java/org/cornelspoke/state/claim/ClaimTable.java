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
 * Claims of requests that may run at most once. Time is the latest timestamp of the commands, so
 * every replica drops the same claims.
 *
 * <p>Deterministic. Not safe for use by several threads; the control thread owns it.
 */
public final class ClaimTable {

  /** Claims that one account may hold. */
  public static final int MAX_CLAIMS_PER_ACCOUNT = 100_000;

  /** How long a claim is kept. */
  public static final long RETENTION_MILLIS = 24L * 60 * 60 * 1_000;

  /**
   * How long a released attempt is remembered, so that a copy of its claim that was delayed in the
   * log does not place the claim again. Proposals are given up after seconds.
   */
  static final long RELEASED_RETENTION_MILLIS = 10L * 60 * 1_000;

  /** Bounds the memory for released attempts to about 10 MB. */
  static final int MAX_RELEASED = 100_000;

  private final int maxClaimsPerAccount;
  private final Map<AccountId, Map<ClaimKey, Claim>> accounts =
      new TreeMap<>(Comparator.comparing(AccountId::value));
  private final Map<CallId, Long> released = new LinkedHashMap<>();
  private long timestampMillis;

  /** Creates an empty table with the usual limit. */
  public ClaimTable() {
    this(MAX_CLAIMS_PER_ACCOUNT);
  }

  /** Creates an empty table; tests use a lower limit. */
  ClaimTable(int maxClaimsPerAccount) {
    this.maxClaimsPerAccount = maxClaimsPerAccount;
  }

  /**
   * Asks for a claim. The attempt that holds the claim is granted it again, so that it can repeat a
   * question whose answer was lost.
   */
  public ClaimOutcome claim(
      ClaimKey key, CallId attempt, String fingerprintHex, long commandMillis) {
    advance(commandMillis);
    Map<ClaimKey, Claim> claims =
        accounts.computeIfAbsent(key.account(), a -> new LinkedHashMap<>());
    dropExpired(claims);
    Claim claim = claims.get(key);
    if (claim != null) {
      if (!claim.fingerprintHex().equals(fingerprintHex)) {
        return new ClaimOutcome.Mismatch();
      }
      boolean holder =
          claim.attempt().equals(attempt) && claim.state() instanceof ClaimOutcome.Running;
      return holder ? new ClaimOutcome.Granted() : claim.state();
    }
    if (released.containsKey(attempt)) {
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
   * @return false if the attempt does not hold the claim or has completed it before
   */
  public boolean complete(
      ClaimKey key, CallId attempt, Optional<StoredAnswer> answer, long commandMillis) {
    advance(commandMillis);
    if (!isHeldBy(key, attempt)) {
      return false;
    }
    ClaimOutcome state =
        answer.isPresent()
            ? new ClaimOutcome.Done(answer.get())
            : new ClaimOutcome.DoneWithoutAnswer();
    accounts
        .get(key.account())
        .computeIfPresent(
            key, (k, c) -> new Claim(k, attempt, c.fingerprintHex(), c.timestampMillis(), state));
    return true;
  }

  /**
   * Gives up a claim whose request has not run.
   *
   * @return false if the attempt does not hold the claim or has completed it; nothing changes then
   */
  public boolean release(ClaimKey key, CallId attempt, long commandMillis) {
    advance(commandMillis);
    boolean held = isHeldBy(key, attempt);
    boolean unplaced = !claimsOf(key).containsKey(key);
    if (held || unplaced) {
      released.putIfAbsent(attempt, timestampMillis);
    }
    if (held) {
      accounts.get(key.account()).remove(key);
    }
    return held;
  }

  /** Returns the number of claims that the account holds, expired ones included. */
  public int size(AccountId account) {
    return accounts.getOrDefault(account, Map.of()).size();
  }

  /** Returns the whole state. */
  public ClaimImage image() {
    List<Claim> claims = new ArrayList<>();
    accounts.values().forEach(account -> claims.addAll(account.values()));
    List<ClaimImage.Released> releases = new ArrayList<>();
    released.forEach((attempt, time) -> releases.add(new ClaimImage.Released(attempt, time)));
    return new ClaimImage(timestampMillis, claims, releases);
  }

  /** Replaces the whole state. */
  public void restore(ClaimImage image) {
    accounts.clear();
    released.clear();
    timestampMillis = image.timestampMillis();
    for (Claim claim : image.claims()) {
      accounts
          .computeIfAbsent(claim.key().account(), a -> new LinkedHashMap<>())
          .put(claim.key(), claim);
    }
    image.released().forEach(entry -> released.put(entry.attempt(), entry.timestampMillis()));
  }

  private Map<ClaimKey, Claim> claimsOf(ClaimKey key) {
    return accounts.getOrDefault(key.account(), Map.of());
  }

  private boolean isHeldBy(ClaimKey key, CallId attempt) {
    Claim claim = claimsOf(key).get(key);
    return claim != null
        && claim.attempt().equals(attempt)
        && claim.state() instanceof ClaimOutcome.Running;
  }

  private void advance(long commandMillis) {
    timestampMillis = Math.max(timestampMillis, commandMillis);
    Iterator<Long> oldest = released.values().iterator();
    while (oldest.hasNext()
        && (oldest.next() + RELEASED_RETENTION_MILLIS < timestampMillis
            || released.size() > MAX_RELEASED)) {
      oldest.remove();
    }
  }

  private void dropExpired(Map<ClaimKey, Claim> claims) {
    Iterator<Claim> oldest = claims.values().iterator();
    while (oldest.hasNext()
        && oldest.next().timestampMillis() + RETENTION_MILLIS < timestampMillis) {
      oldest.remove();
    }
  }
}
