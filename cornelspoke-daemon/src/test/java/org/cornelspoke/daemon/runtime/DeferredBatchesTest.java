package org.cornelspoke.daemon.runtime;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.cornelspoke.coordination.quota.ShareFrame;
import org.cornelspoke.coordination.quota.ShareFrame.HolderReady;
import org.cornelspoke.model.VmId;
import org.junit.jupiter.api.Test;

/** Guards against reports that a new leader loses, reorders or keeps without a bound. */
final class DeferredBatchesTest {

  private static final VmId RELAY = new VmId("vm-1");

  private final DeferredBatches batches = new DeferredBatches();

  private static List<ShareFrame> batch(String name) {
    return List.of(new HolderReady(name));
  }

  @Test
  void batchesOfARelayAreReturnedOnceInOrder() {
    batches.add(RELAY, batch("a"));
    batches.add(new VmId("vm-2"), batch("b"));
    batches.add(RELAY, batch("c"));

    assertThat(batches.relays()).containsExactly(RELAY, new VmId("vm-2")).inOrder();
    assertThat(batches.remove(RELAY)).containsExactly(batch("a"), batch("c")).inOrder();
    assertThat(batches.remove(RELAY)).isEmpty();
    assertThat(batches.relays()).containsExactly(new VmId("vm-2"));
  }

  @Test
  void batchesOfAFormerTermAreDropped() {
    batches.add(RELAY, batch("a"));

    batches.clear();

    assertThat(batches.relays()).isEmpty();
  }

  @Test
  void numberOfBatchesIsBounded() {
    for (int i = 0; i < 2 * DeferredBatches.MAX_BATCHES_PER_RELAY; i++) {
      batches.add(RELAY, batch("a" + i));
    }

    assertThat(batches.remove(RELAY)).hasSize(DeferredBatches.MAX_BATCHES_PER_RELAY);
  }
}
