package org.cornelspoke.state.codec;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.RequestId;
import org.cornelspoke.state.config.Account;
import org.cornelspoke.state.config.ChangeRequest;
import org.cornelspoke.state.config.ConfigChange;
import org.cornelspoke.state.config.RoutingDocument;
import org.junit.jupiter.api.Test;

class CommandCodecTest {

  /** Largest command that earlier versions accept. */
  private static final int MAX_PLAIN_BYTES = 900_000;

  /** Guards against commands in a form that members of an earlier version cannot read. */
  @Test
  void commandOfAnAcceptedSizeKeepsItsForm() {
    ControlCommand command = command(1, 100_000);
    byte[] encoded = CommandCodec.encode(command);
    assertThat(encoded.length).isGreaterThan(100_000);
    assertThat(CommandCodec.decode(encoded)).isEqualTo(command);
  }

  /** Guards against a configuration that never fits into a log entry. */
  @Test
  void largeCommandIsCompressed() {
    ControlCommand command = command(20_000, 3_000_000);
    byte[] encoded = CommandCodec.encode(command);
    assertThat(encoded.length).isLessThan(MAX_PLAIN_BYTES);
    assertThat(CommandCodec.decode(encoded)).isEqualTo(command);
  }

  /** Guards against a damaged length that claims the whole heap, and against cut data. */
  @Test
  void damagedCompressedCommandIsRejected() {
    byte[] valid = Compression.compress(new byte[1_000]);
    for (int size : new int[] {-1, 999, 1_001, Integer.MAX_VALUE}) {
      assertThrows(MalformedMessageException.class, () -> Compression.decompress(valid, size));
    }
    byte[] cut = java.util.Arrays.copyOf(valid, valid.length - 6);
    assertThrows(MalformedMessageException.class, () -> Compression.decompress(cut, 1_000));
  }

  private static ControlCommand command(int accountCount, int textLength) {
    List<Account> accounts = new ArrayList<>();
    for (int i = 0; i < accountCount; i++) {
      accounts.add(new Account(new AccountId("account-" + i), i + 1, 10, 1));
    }
    return new ControlCommand.Change(
        new ChangeRequest(
            new RequestId("request"),
            new OperatorId("operator"),
            Optional.empty(),
            7,
            new ConfigChange.ReplaceRouting(
                0,
                new RoutingDocument(1, "x".repeat(textLength)),
                List.of(),
                accounts,
                List.of())));
  }
}
