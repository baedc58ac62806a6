package org.cornelspoke.coordination.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.coordination.quota.ShareMessage.TokenReply;
import org.cornelspoke.coordination.quota.ShareMessage.TokenRequest;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.state.config.Account;
import org.junit.jupiter.api.Test;

class ShareRelayTest {

  private static final AccountId ACCOUNT = new AccountId("a");
  private static final ShareTimes TIMES = ShareTimes.DEFAULT;
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

  private final List<TokenReply> replies = new ArrayList<>();
  private final ShareOwner owner =
      new ShareOwner(TIMES, (relay, message) -> receive(message), -60 * SECOND);
  private final ShareRelay relay =
      new ShareRelay(TIMES, this::send, (daemon, message) -> replies.add((TokenReply) message));
  private long nowNanos;

  @Test
  void tokenRequestThatWasHandledTooLateGetsNoToken() {
    owner.confirmLeadership(0);
    owner.setAccounts(List.of(new Account(ACCOUNT, 100, 100, 1)), 0);
    relay.onConnected(1, 0);
    request(1, 0);
    tick();
    assertThat(replies.stream().mapToInt(TokenReply::count).sum()).isEqualTo(1);
    replies.clear();
    request(2, TIMES.maxWaitNanos());
    tick();
    assertThat(replies).isEmpty();
  }

  @Test
  void ownerStatesWhatASilentRelayHolds() {
    owner.confirmLeadership(0);
    owner.setAccounts(List.of(new Account(ACCOUNT, 100, 100, 1)), 0);
    relay.onConnected(1, 0);
    request(1, 0);
    tick();
    assertThat(owner.sharesAtSilentRelays(SECOND, nowNanos)).isEmpty();
    nowNanos += SECOND;
    IssuedShares issued = owner.sharesAtSilentRelays(SECOND / 2, nowNanos).get("r");
    assertThat(issued.share().burstTokens()).isAtLeast(1);
    assertThat(nowNanos - issued.reportedAtNanos()).isAtLeast(SECOND);
    assertThat(issued.countedUntilNanos() - nowNanos).isLessThan(TIMES.leaseNanos());
    nowNanos += 3 * TIMES.leaseNanos();
    owner.confirmLeadership(nowNanos);
    owner.onTick(nowNanos);
    assertThat(owner.sharesAtSilentRelays(SECOND / 2, nowNanos)).isEmpty();
  }

  private void request(long number, long delayNanos) {
    TokenRequest request =
        new TokenRequest(ACCOUNT, 1, number, ClassAmounts.NONE.plus(TrafficClass.BULK, 1));
    relay.onHolderMessage("d", request, nowNanos - delayNanos, nowNanos);
  }

  private void tick() {
    for (int i = 0; i < 10; i++) {
      nowNanos += TICK_NANOS;
      owner.confirmLeadership(nowNanos);
      owner.onTick(nowNanos);
      relay.onTick(nowNanos);
    }
  }

  private void send(ShareMessage message) {
    owner.onMessage("r", message, nowNanos);
  }

  private void receive(ShareMessage message) {
    relay.onOwnerMessage(message, nowNanos);
  }
}
