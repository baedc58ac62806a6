package org.cornelspoke.protocol.context;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Map;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.CallId;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.state.config.ContextSecret;
import org.cornelspoke.state.view.FleetView;
import org.junit.jupiter.api.Test;

class ContextSignerTest {

  private static final ContextSecret OLD = new ContextSecret(1, "00".repeat(32));
  private static final ContextSecret NEW = new ContextSecret(2, "11".repeat(32));
  private static final CallContext CONTEXT =
      new CallContext(
          new CallId("0123456789abcdef0123456789abcdef"),
          new AccountId("farm"),
          2,
          TrafficClass.CRITICAL,
          new Revision(4),
          99);

  private final ContextSigner signer = new ContextSigner();

  /** Guards against contexts that become invalid while a secret is rotated. */
  @Test
  void contextsSignedWithAnyKnownSecretAreAccepted() {
    FleetView view = view(OLD, NEW);
    assertThat(signer.verify(signer.sign(CONTEXT, OLD), view)).hasValue(CONTEXT);
    assertThat(signer.verify(signer.sign(CONTEXT, NEW), view)).hasValue(CONTEXT);
    assertThat(signer.verify(signer.sign(CONTEXT, NEW), view(OLD))).isEmpty();
  }

  /** Guards against an accepted context whose account, class or call an upstream has altered. */
  @Test
  void alteredOrMalformedContextsAreRejected() {
    String text = signer.sign(CONTEXT, OLD);
    FleetView view = view(OLD);
    for (int i = 0; i < text.length() - 1; i++) {
      char changed = text.charAt(i) == 'A' ? 'B' : 'A';
      String forged = text.substring(0, i) + changed + text.substring(i + 1);
      assertWithMessage("position " + i).that(signer.verify(forged, view).isPresent()).isFalse();
    }
    for (String malformed : List.of("", ".", "a.b", text.substring(1), "!" + text, text + ".x")) {
      assertWithMessage(malformed).that(signer.verify(malformed, view).isPresent()).isFalse();
    }
  }

  private static FleetView view(ContextSecret... secrets) {
    return new FleetView(new Revision(1), List.of(secrets), Map.of());
  }
}
