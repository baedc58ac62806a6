package org.cornelspoke.state.claim;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Optional;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.CallId;
import org.junit.jupiter.api.Test;

class ClaimTableTest {

  private static final ClaimKey KEY = new ClaimKey(new AccountId("a"), "key");
  private static final CallId FIRST = new CallId("1".repeat(32));
  private static final CallId SECOND = new CallId("2".repeat(32));
  private static final ClaimOutcome GRANTED = new ClaimOutcome.Granted();
  private static final ClaimOutcome RUNNING = new ClaimOutcome.Running();

  private final ClaimTable table = new ClaimTable(3);

  /** Guards against two attempts of a request that both run. */
  @Test
  void secondAttemptIsNotGranted() {
    assertThat(table.claim(KEY, FIRST, "f", 1)).isEqualTo(GRANTED);
    assertThat(table.claim(KEY, SECOND, "f", 2)).isEqualTo(RUNNING);
    assertThat(table.claim(KEY, FIRST, "f", 3)).isEqualTo(GRANTED);
  }

  /** Guards against a retry that runs again or gets a different response. */
  @Test
  void retryAfterCompletionGetsTheStoredResponse() {
    StoredResponse response = new StoredResponse(200, Map.of("a", "b"), new byte[] {1, 2});
    table.claim(KEY, FIRST, "f", 1);
    assertThat(table.complete(KEY, FIRST, Optional.of(response), 2)).isTrue();
    assertThat(table.claim(KEY, SECOND, "f", 3)).isEqualTo(new ClaimOutcome.Completed(response));
    assertThat(table.claim(KEY, FIRST, "f", 4)).isEqualTo(new ClaimOutcome.Completed(response));
    assertThat(table.complete(KEY, FIRST, Optional.empty(), 5)).isFalse();
  }

  /** Guards against a stored response that is returned to a different request with the same key. */
  @Test
  void differentFingerprintIsAMismatch() {
    table.claim(KEY, FIRST, "f", 1);
    assertThat(table.claim(KEY, SECOND, "g", 2)).isEqualTo(new ClaimOutcome.Mismatch());
    table.complete(KEY, FIRST, Optional.empty(), 3);
    assertThat(table.claim(KEY, SECOND, "g", 4)).isEqualTo(new ClaimOutcome.Mismatch());
  }

  /** Guards against an attempt that releases another attempt's claim or a completed one. */
  @Test
  void onlyTheHolderReleasesAndOnlyBeforeCompletion() {
    table.claim(KEY, FIRST, "f", 1);
    assertThat(table.release(KEY, SECOND, 2)).isFalse();
    assertThat(table.claim(KEY, SECOND, "f", 3)).isEqualTo(RUNNING);
    assertThat(table.complete(KEY, SECOND, Optional.empty(), 4)).isFalse();
    assertThat(table.complete(KEY, FIRST, Optional.empty(), 5)).isTrue();
    assertThat(table.release(KEY, FIRST, 6)).isFalse();
    assertThat(table.claim(KEY, SECOND, "f", 7))
        .isEqualTo(new ClaimOutcome.CompletedWithoutResponse());
  }

  /**
   * Guards against a claim that is never released, placed by a command committed after its release.
   */
  @Test
  void claimCommittedAfterItsReleaseIsNotPlaced() {
    table.release(KEY, FIRST, 1);
    assertThat(table.claim(KEY, FIRST, "f", 2)).isEqualTo(RUNNING);
    assertThat(table.claim(KEY, SECOND, "f", 3)).isEqualTo(GRANTED);
    table.release(KEY, SECOND, 4);
    assertThat(table.claim(KEY, SECOND, "f", 5)).isEqualTo(RUNNING);
    assertThat(table.size(KEY.account())).isEqualTo(0);
  }

  /** Guards against unbounded memory, and against a full table that evicts live claims. */
  @Test
  void fullTableRefusesNewClaimsUntilOldOnesExpire() {
    for (int i = 0; i < 3; i++) {
      assertThat(claim("k" + i, i, i)).isEqualTo(GRANTED);
    }
    assertThat(claim("k3", 3, 3)).isEqualTo(new ClaimOutcome.TableFull());
    assertThat(claim("k0", 9, 4)).isEqualTo(RUNNING);
    ClaimKey otherAccountKey = new ClaimKey(new AccountId("b"), "k");
    assertThat(table.claim(otherAccountKey, FIRST, "f", 5)).isEqualTo(GRANTED);
    assertThat(claim("k3", 3, ClaimTable.RETENTION_MILLIS)).isEqualTo(new ClaimOutcome.TableFull());
    assertThat(claim("k3", 3, ClaimTable.RETENTION_MILLIS + 1)).isEqualTo(GRANTED);
  }

  /**
   * Guards against claims that never expire because a proposer with a slow clock sets time back.
   */
  @Test
  void tableTimeNeverDecreases() {
    claim("k0", 0, 1);
    claim("k1", 1, ClaimTable.RETENTION_MILLIS + 2);
    claim("k2", 2, 0);
    claim("k3", 3, 0);
    assertThat(table.size(KEY.account())).isEqualTo(3);
    assertThat(claim("k4", 4, 0)).isEqualTo(new ClaimOutcome.TableFull());
  }

  private ClaimOutcome claim(String key, int attempt, long timestampMillis) {
    return table.claim(
        new ClaimKey(KEY.account(), key),
        new CallId("%032x".formatted(attempt)),
        "f",
        timestampMillis);
  }
}
