package org.cornelspoke.coordination.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cornelspoke.coordination.quota.ShareMessage.TokenReply;
import org.cornelspoke.coordination.quota.ShareMessage.TokenRequest;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.TrafficClass;
import org.junit.jupiter.api.Test;

/** Guards against issued tokens whose burst refills as if the tokens had been used. */
class TokenAllocatorTest {

  private static final AccountId ACCOUNT = new AccountId("small");
  private static final ShareTimes TIMES = ShareTimes.DEFAULT;
  private static final ClassAmounts ONE = new ClassAmounts(0, 1, 0);
  private static final long MILLI = 1_000_000L;

  private final TokenBucket spare = new TokenBucket(0);
  private final List<TokenReply> replies = new ArrayList<>();
  private final TokenAllocator allocator =
      new TokenAllocator(
          ACCOUNT, spare, (holder, message) -> replies.add((TokenReply) message), TIMES, 0);

  @Test
  void issuedTokenKeepsItsBurstUntilItExpires() {
    spare.add(new TokenShare(1_000, 1, 1), 0);
    request(1, 0);

    // The rate alone would have added the next token after 1 ms.
    long beforeExpiryNanos = TIMES.tokenValidityNanos();
    allocator.releaseExpired(beforeExpiryNanos);
    request(2, beforeExpiryNanos);
    assertThat(replies).hasSize(1);
    assertThat(allocator.issuedTokens()).isEqualTo(1);

    long afterExpiryNanos = ShareTimes.expiryNanos(TIMES.tokenValidityNanos());
    allocator.releaseExpired(afterExpiryNanos);
    allocator.serve(TrafficClass.BULK, afterExpiryNanos + 2 * MILLI);
    assertThat(replies).hasSize(2);
  }

  @Test
  void tokenValidityEndsNoLaterThanItsBurstReservation() {
    spare.add(new TokenShare(0, 1, 0), 0);
    request(1, 0);
    spare.add(new TokenShare(1_000, 0, 0), 0);

    allocator.serve(TrafficClass.BULK, 10 * MILLI);

    // The burst is reserved from 10 ms on; the token request was sent at 0 or before.
    assertThat(replies.get(0).usableNanos()).isEqualTo(10 * MILLI + TIMES.tokenValidityNanos());
  }

  @Test
  void tokenRequestIsDiscardedAfterItsRetentionTime() {
    request(1, 0);

    allocator.releaseExpired(TIMES.tokenRequestRetentionNanos());

    assertThat(allocator.waiting().total()).isEqualTo(0);
  }

  @Test
  void exhaustedTokenRequestIsRefusedAtOnceAndOlderOnesWait() {
    request(1, 0);
    request(2, 0);
    Exhaustion exhaustion = new Exhaustion(TrafficClass.INTERACTIVE, MILLI);

    allocator.refuseNewest(exhaustion);

    assertThat(replies)
        .containsExactly(new TokenReply(ACCOUNT, 1, 2, 0, 0, Optional.of(exhaustion)));
    assertThat(allocator.waiting()).isEqualTo(ONE);
  }

  private void request(long number, long nowNanos) {
    allocator.onTokenRequest("daemon", new TokenRequest(ACCOUNT, 1, number, ONE), nowNanos);
    allocator.serve(TrafficClass.BULK, nowNanos);
  }
}
