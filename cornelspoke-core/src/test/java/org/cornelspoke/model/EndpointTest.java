package org.cornelspoke.model;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EndpointTest {

  /** Guards against text that the JDK would resolve as a host name, which blocks the event loop. */
  @ParameterizedTest
  @ValueSource(
      strings = {"300.0.0.1:80", "1.2.3.999:80", ":::::80", "localhost:80", "cafe:80", "80", ":80"})
  void rejectsTextThatIsNotAnIpAddress(String text) {
    assertThrows(IllegalArgumentException.class, () -> Endpoint.parse(text));
  }

  /** Guards against rejection of valid IPv4 or IPv6 addresses. */
  @Test
  void acceptsIpAddresses() {
    assertThat(Endpoint.parse("10.0.0.1:80")).isEqualTo(new Endpoint("10.0.0.1", 80));
    assertThat(Endpoint.parse("::1:80").toSocketAddress().getAddress().isLoopbackAddress())
        .isTrue();
  }
}
