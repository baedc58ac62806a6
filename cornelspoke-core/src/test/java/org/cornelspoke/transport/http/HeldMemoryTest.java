package org.cornelspoke.transport.http;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class HeldMemoryTest {

  private final MetricRegistry metrics = new MetricRegistry();
  private final HeldMemory memory = HeldMemory.ofBytes(100, metrics);
  private final List<String> revoked = new ArrayList<>();

  @Test
  void largestRequestIsRefusedWhenTheAccountIsFull() {
    FakeHolder small = new FakeHolder("small", 0);
    FakeHolder large = new FakeHolder("large", 0);
    small.hold(30);
    large.hold(60);
    assertThat(revoked).isEmpty();
    small.hold(50);
    assertThat(revoked).containsExactly("large");
    assertThat(metrics.counter("memory.refused-for-room").getCount()).isEqualTo(1);
  }

  /** Guards against a crowd that stops short of its end and displaces a request that progresses. */
  @Test
  void stalledRequestsAreRefusedBeforeLargerOnesThatProgress() {
    FakeHolder stalled = new FakeHolder("stalled", TimeUnit.SECONDS.toNanos(5));
    FakeHolder progressing = new FakeHolder("progressing", 0);
    stalled.hold(20);
    progressing.hold(90);
    assertThat(revoked).containsExactly("stalled");
  }

  /** Guards against the end of a request that an upstream may be running. */
  @Test
  void servedRequestsKeepTheirMemory() {
    FakeHolder served = new FakeHolder("served", 0);
    FakeHolder incomplete = new FakeHolder("incomplete", 0);
    served.revocable = false;
    served.hold(90);
    incomplete.hold(20);
    assertThat(revoked).containsExactly("incomplete");
  }

  @Test
  void reservationMakesRoomOrFails() {
    FakeHolder incomplete = new FakeHolder("incomplete", 0);
    incomplete.hold(50);
    assertThat(memory.tryReserve(80)).isTrue();
    assertThat(revoked).containsExactly("incomplete");
    assertThat(memory.tryReserve(30)).isFalse();
    memory.release(80);
    assertThat(memory.tryReserve(100)).isTrue();
  }

  @Test
  void memoryIsScarceFromHalfOfTheLimitOn() {
    assertThat(memory.tryReserve(50)).isTrue();
    assertThat(memory.isScarce()).isFalse();
    assertThat(memory.tryReserve(1)).isTrue();
    assertThat(memory.isScarce()).isTrue();
  }

  private final class FakeHolder implements HeldMemory.Holder {

    private final String name;
    private final long stalledNanos;
    private boolean revocable = true;
    private long bytes;

    FakeHolder(String name, long stalledNanos) {
      this.name = name;
      this.stalledNanos = stalledNanos;
    }

    void hold(long newBytes) {
      long changeBytes = newBytes - bytes;
      bytes = newBytes;
      memory.onChange(this, changeBytes);
    }

    @Override
    public long heldBytes() {
      return bytes;
    }

    @Override
    public long lastProgressNanos() {
      return System.nanoTime() - stalledNanos;
    }

    @Override
    public boolean isRevocable() {
      return revocable;
    }

    @Override
    public void revoke() {
      revoked.add(name);
      hold(0);
    }
  }
}
