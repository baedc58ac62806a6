package org.cornelspoke.coordination.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cornelspoke.coordination.quota.ShareMessage.Ask;
import org.cornelspoke.coordination.quota.ShareMessage.Tokens;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.TrafficClass;
import org.junit.jupiter.api.Test;

/** Guards against tokens that are out while the bucket refills as if they had been used. */
class TokenBookTest {

  private static final AccountId ACCOUNT = new AccountId("small");
  private static final ShareTimes TIMES = ShareTimes.DEFAULT;
  private static final ClassAmounts ONE = new ClassAmounts(0, 1, 0);
  private static final long MILLI = 1_000_000L;

  private final TokenBucket spare = new TokenBucket(0);
  private final List<Tokens> answers = new ArrayList<>();
  private final TokenBook book =
      new TokenBook(ACCOUNT, spare, (holder, message) -> answers.add((Tokens) message), TIMES, 0);

  @Test
  void tokenThatIsOutKeepsItsBurstUntilItIsVoid() {
    spare.add(new TokenShare(1_000, 1, 1), 0);
    ask(1, 0);

    // The rate alone would have brought the next token after 1 ms.
    long beforeVoid = TIMES.tokenNanos();
    book.releaseExpired(beforeVoid);
    ask(2, beforeVoid);
    assertThat(answers).hasSize(1);
    assertThat(book.outTokens()).isEqualTo(1);

    long afterVoid = ShareTimes.expiryNanos(TIMES.tokenNanos());
    book.releaseExpired(afterVoid);
    book.serve(TrafficClass.BULK, afterVoid + 2 * MILLI);
    assertThat(answers).hasSize(2);
  }

  @Test
  void holderMayUseATokenNoLongerThanItsBurstIsOut() {
    spare.add(new TokenShare(0, 1, 0), 0);
    ask(1, 0);
    spare.add(new TokenShare(1_000, 0, 0), 0);

    book.serve(TrafficClass.BULK, 10 * MILLI);

    // The burst is out from 10 ms on; the ask was sent at 0 or before.
    assertThat(answers.get(0).usableNanos()).isEqualTo(10 * MILLI + TIMES.tokenNanos());
  }

  @Test
  void askIsDroppedOnceItsRequestsHaveGivenUp() {
    ask(1, 0);

    book.releaseExpired(TIMES.askNanos());

    assertThat(book.waiting().total()).isEqualTo(0);
  }

  @Test
  void exhaustedAskIsRefusedAtOnceAndOlderOnesWait() {
    ask(1, 0);
    ask(2, 0);
    Exhaustion exhaustion = new Exhaustion(TrafficClass.INTERACTIVE, MILLI);

    book.refuseNewest(exhaustion);

    assertThat(answers).containsExactly(new Tokens(ACCOUNT, 1, 2, 0, 0, Optional.of(exhaustion)));
    assertThat(book.waiting()).isEqualTo(ONE);
  }

  private void ask(long number, long nowNanos) {
    book.onAsk("daemon", new Ask(ACCOUNT, 1, number, ONE), nowNanos);
    book.serve(TrafficClass.BULK, nowNanos);
  }
}
