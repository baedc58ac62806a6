package org.cornelspoke.coordination.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.cornelspoke.coordination.quota.ShareMessage.TokenReply;
import org.cornelspoke.coordination.quota.ShareMessage.TokenRequest;
import org.cornelspoke.model.AccountId;
import org.junit.jupiter.api.Test;

/** Guards against faults when listeners call the holder again during a grant or refusal. */
class ShareHolderTest {

  private static final AccountId FIRST = new AccountId("first");
  private static final long WAIT_NANOS = 200_000_000L;
  private static final int WAITING_REQUESTS = 5_000;

  private final List<ShareMessage> sent = new ArrayList<>();
  private final ShareHolder holder = new ShareHolder(ShareTimes.DEFAULT, sent::add);
  private int refused;
  private int granted;

  /**
   * A refusal may start a pipelined request of another account. This once aborted the tick, so that
   * waiting requests never got a response.
   */
  @Test
  void refusalMayStartARequestOfANewAccount() {
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

  /**
   * Repeats the check with many requests of one account, beyond the initial capacity of its queue.
   */
  @Test
  void refusalMayStartAnotherRequestOfTheSameAccount() {
    for (int i = 0; i < 40; i++) {
      holder.acquire(FIRST, WAIT_NANOS, onRefused(unused -> acquire(FIRST, 2 * WAIT_NANOS)), 0);
    }

    holder.onTick(WAIT_NANOS);
    assertThat(refused).isEqualTo(40);

    holder.onTick(2 * WAIT_NANOS);
    assertThat(refused).isEqualTo(80);
  }

  /**
   * Guards against a stack overflow by nested calls when every request returns its token at once.
   */
  @Test
  void tokenReturnedAtOnceServesAllWaitingRequests() {
    holder.onConnected(1, 0);
    for (int i = 0; i < WAITING_REQUESTS; i++) {
      holder.acquire(
          FIRST,
          WAIT_NANOS,
          new RateLimiter.Listener() {
            @Override
            public void onGranted() {
              granted++;
              holder.returnToken(FIRST, 1, 1);
            }

            @Override
            public void onRefused(long retryAfterMillis) {
              refused++;
            }
          },
          0);
    }
    TokenRequest request = (TokenRequest) sent.get(0);
    holder.onMessage(
        new TokenReply(FIRST, request.session(), request.number(), 1, WAIT_NANOS, Optional.empty()),
        1);

    assertThat(granted).isEqualTo(WAITING_REQUESTS);
  }

  private void acquire(AccountId account, long deadlineNanos) {
    holder.acquire(account, deadlineNanos, onRefused(unused -> {}), WAIT_NANOS);
  }

  private RateLimiter.Listener onRefused(Consumer<Long> action) {
    return new RateLimiter.Listener() {
      @Override
      public void onGranted() {
        granted++;
      }

      @Override
      public void onRefused(long retryAfterMillis) {
        refused++;
        action.accept(retryAfterMillis);
      }
    };
  }
}
