package org.cornelspoke.coordination.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.cornelspoke.coordination.quota.ShareMessage.Ask;
import org.cornelspoke.coordination.quota.ShareMessage.Tokens;
import org.cornelspoke.model.AccountId;
import org.junit.jupiter.api.Test;

/** Guards against listeners that call the holder again while it serves or refuses. */
class ShareHolderTest {

  private static final AccountId FIRST = new AccountId("first");
  private static final long WAIT_NANOS = 200_000_000L;
  private static final int WAITING = 5_000;

  private final List<ShareMessage> sent = new ArrayList<>();
  private final ShareHolder holder = new ShareHolder(ShareTimes.DEFAULT, sent::add);
  private int refused;
  private int granted;

  /**
   * A pipelined request of another account follows as soon as the one before is answered. The tick
   * failed in the middle, and requests that waited for a token were never answered.
   */
  @Test
  void refusalThatBringsARequestOfANewAccountDisturbsNoOther() {
    for (int i = 0; i < 8; i++) {
      AccountId next = new AccountId("next-" + i);
      holder.acquire(
          new AccountId("account-" + i),
          WAIT_NANOS,
          onRefused(unused -> acquire(next, 2 * WAIT_NANOS)),
          0);
    }

    holder.onTick(WAIT_NANOS);
    assertThat(refused).isEqualTo(8);

    holder.onTick(2 * WAIT_NANOS);
    assertThat(refused).isEqualTo(16);
  }

  /** The same with many requests of one account, more than its queue had room for at first. */
  @Test
  void refusalThatBringsAnotherRequestOfItsAccountDisturbsNoOther() {
    for (int i = 0; i < 40; i++) {
      holder.acquire(FIRST, WAIT_NANOS, onRefused(unused -> acquire(FIRST, 2 * WAIT_NANOS)), 0);
    }

    holder.onTick(WAIT_NANOS);
    assertThat(refused).isEqualTo(40);

    holder.onTick(2 * WAIT_NANOS);
    assertThat(refused).isEqualTo(80);
  }

  /** Each request gives its token back at once; nested calls for all of them overflow the stack. */
  @Test
  void tokenThatIsGivenBackAtOnceServesAllThatWait() {
    holder.onConnected(1, 0);
    for (int i = 0; i < WAITING; i++) {
      holder.acquire(
          FIRST,
          WAIT_NANOS,
          new RateLimiter.Listener() {
            @Override
            public void onGranted() {
              granted++;
              holder.giveBack(FIRST, 1, 1);
            }

            @Override
            public void onRefused(long retryAfterMillis) {
              refused++;
            }
          },
          0);
    }
    Ask ask = (Ask) sent.get(0);
    holder.onMessage(
        new Tokens(FIRST, ask.session(), ask.number(), 1, WAIT_NANOS, Optional.empty()), 1);

    assertThat(granted).isEqualTo(WAITING);
  }

  private void acquire(AccountId account, long deadlineNanos) {
    holder.acquire(account, deadlineNanos, onRefused(unused -> {}), WAIT_NANOS);
  }

  private RateLimiter.Listener onRefused(Consumer<Long> then) {
    return new RateLimiter.Listener() {
      @Override
      public void onGranted() {
        granted++;
      }

      @Override
      public void onRefused(long retryAfterMillis) {
        refused++;
        then.accept(retryAfterMillis);
      }
    };
  }
}
