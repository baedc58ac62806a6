package org.cornelspoke.coordination.admission;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a limit at or above the load where the upstream starts to slow down. */
final class FixedLimitTest {

  @Test
  void staysBelowTheFractionOfTheSlots() {
    assertThat(new FixedLimit(19, 0.95).limit()).isEqualTo(18);
    assertThat(new FixedLimit(20, 0.95).limit()).isEqualTo(18);
    assertThat(new FixedLimit(45, 0.95).limit()).isEqualTo(42);
    assertThat(new FixedLimit(1, 0.95).limit()).isEqualTo(1);
  }

  @Test
  void usesAllSlotsByDefault() {
    assertThat(new FixedLimit(19).limit()).isEqualTo(19);
  }

  @Test
  void followsTheAnnouncedSlots() {
    FixedLimit limit = new FixedLimit(20, 0.95);
    limit.setAnnouncedSlots(40);

    assertThat(limit.limit()).isEqualTo(37);
  }
}
