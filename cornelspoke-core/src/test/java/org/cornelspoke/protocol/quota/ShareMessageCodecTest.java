package org.cornelspoke.protocol.quota;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.cornelspoke.coordination.quota.ClassAmounts;
import org.cornelspoke.coordination.quota.Exhaustion;
import org.cornelspoke.coordination.quota.ShareFrame;
import org.cornelspoke.coordination.quota.ShareMessage;
import org.cornelspoke.coordination.quota.TokenShare;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.TrafficClass;
import org.junit.jupiter.api.Test;

/** Guards against messages that are altered by the codec and malformed ones that are accepted. */
class ShareMessageCodecTest {

  private static final AccountId ACCOUNT = new AccountId("obec-7");
  private static final TokenShare SHARE = new TokenShare(12.25, 7, 3.5);
  private static final List<ShareFrame> MESSAGES =
      List.of(
          new ShareMessage.Report(
              ACCOUNT,
              1L << 50,
              3,
              SHARE,
              TokenShare.EMPTY,
              new ClassAmounts(99.5, 0, 1),
              new ClassAmounts(0, 4, 0),
              3_200_000_000L),
          new ShareMessage.Grant(ACCOUNT, 5, 3, 3_000_000_000L, SHARE, 9, Optional.empty()),
          new ShareMessage.Grant(
              ACCOUNT,
              5,
              4,
              3_000_000_000L,
              SHARE,
              9,
              Optional.of(new Exhaustion(TrafficClass.BULK, 40_000_000L))),
          new ShareMessage.TokenRequest(ACCOUNT, 5, 7, new ClassAmounts(1, 0, 2)),
          new ShareMessage.TokenReply(ACCOUNT, 5, 7, 2, 130_000_000L, Optional.empty()),
          new ShareMessage.TokenReply(
              ACCOUNT, 5, 7, 0, 0, Optional.of(new Exhaustion(TrafficClass.CRITICAL, 0))),
          new ShareMessage.Reset(ACCOUNT, 5),
          new ShareMessage.Recall(ACCOUNT, 5, SHARE, true),
          new ShareMessage.Return(ACCOUNT, 5, 6, SHARE),
          new ShareMessage.UnrecordedShare(ACCOUNT, 5, SHARE, 1_500_000_000L),
          new ShareFrame.HolderReady("10.1.0.7"),
          new ShareFrame.RelayReady("control-2", 1_730));

  @Test
  void everyMessageRoundTrips() throws IOException {
    assertThat(ShareMessageCodec.decode(ShareMessageCodec.encode(MESSAGES))).isEqualTo(MESSAGES);
    for (ShareFrame message : MESSAGES) {
      assertThat(ShareMessageCodec.decode(encode(message))).containsExactly(message);
    }
    assertThat(ShareMessageCodec.decode(ShareMessageCodec.encode(List.of()))).isEmpty();
  }

  @Test
  void truncatedAndExtendedMessagesAreRejected() {
    for (ShareFrame message : MESSAGES) {
      byte[] bytes = encode(message);
      for (int length = 0; length < bytes.length; length++) {
        byte[] truncated = Arrays.copyOf(bytes, length);
        assertThrows(IOException.class, () -> ShareMessageCodec.decode(truncated));
      }
      byte[] extended = Arrays.copyOf(bytes, bytes.length + 1);
      assertThrows(IOException.class, () -> ShareMessageCodec.decode(extended));
    }
  }

  @Test
  void unknownTypeIsRejected() {
    byte[] bytes = encode(MESSAGES.get(2));
    bytes[2] = 99;
    assertThrows(IOException.class, () -> ShareMessageCodec.decode(bytes));
  }

  private static byte[] encode(ShareFrame message) {
    return ShareMessageCodec.encode(List.of(message));
  }
}
