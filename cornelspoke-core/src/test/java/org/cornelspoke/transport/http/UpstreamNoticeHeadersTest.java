package org.cornelspoke.transport.http;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.cornelspoke.coordination.admission.UpstreamNotice;
import org.cornelspoke.protocol.call.Headers;
import org.junit.jupiter.api.Test;

class UpstreamNoticeHeadersTest {

  private final UpstreamNoticeHeaders headers =
      new UpstreamNoticeHeaders("limit", "leaving", "cold");

  @Test
  void readsLimitAndDeparture() {
    assertThat(headers.parse(response("Limit", "12.5")))
        .hasValue(new UpstreamNotice(OptionalDouble.of(12.5), false));
    assertThat(headers.parse(response("Limit", "0", "Leaving", "1")))
        .hasValue(new UpstreamNotice(OptionalDouble.of(0), true));
    assertThat(headers.parse(response())).hasValue(UpstreamNotice.NONE);
    assertThat(headers.parse(response("Leaving", "0"))).hasValue(UpstreamNotice.NONE);
  }

  /** Guards against a malformed limit that ends the one in force. */
  @Test
  void malformedLimitStatesNothing() {
    for (String limit : new String[] {"", "-1", "1e3", "NaN", "1,5", "12345678901"}) {
      assertThat(headers.parse(response("Limit", limit))).isEmpty();
    }
    assertThat(headers.parse(response("Limit", "x", "Leaving", "1")))
        .hasValue(new UpstreamNotice(OptionalDouble.empty(), true));
  }

  @Test
  void readsRemainingColdTime() {
    assertThat(headers.parse(response("Cold", "2500")))
        .hasValue(new UpstreamNotice(OptionalDouble.empty(), false, OptionalLong.of(2_500)));
    assertThat(headers.parse(response("Cold", "0", "Limit", "7")))
        .hasValue(new UpstreamNotice(OptionalDouble.of(7), false, OptionalLong.of(0)));
  }

  /** Guards against a malformed remaining time that counts as warm. */
  @Test
  void malformedRemainingColdTimeStatesNothing() {
    for (String millis : new String[] {"", "-1", "2.5", "3s", "1234567890123"}) {
      assertThat(headers.parse(response("Cold", millis))).hasValue(UpstreamNotice.NONE);
    }
  }

  private static Headers response(String... namesAndValues) {
    Headers.Builder builder = new Headers.Builder();
    for (int i = 0; i < namesAndValues.length; i += 2) {
      builder.add(namesAndValues[i], namesAndValues[i + 1]);
    }
    return builder.build();
  }
}
