package org.cornelspoke.transport.http;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.util.Assert;

/**
 * Account of the bytes that a daemon holds for callers: what it has read of their requests, until
 * these have ended, and responses that they have not read. If it is full, requests that are being
 * received are refused: first those that no longer make progress, and of these the largest.
 *
 * <p>Confined to the thread of its reactor.
 */
public final class HeldMemory {

  /**
   * Fraction of the heap that may be held. The rest is for responses that arrive from upstreams,
   * for copies of parts while they are sent, for the state of the daemon, and for garbage.
   */
  private static final double HEAP_FRACTION = 0.42;

  /** Room beyond one body of the maximum size, so that such a body is served in calm. */
  private static final int BEYOND_ONE_BODY_BYTES = 2 << 20;

  /** Fraction of the account from which on nothing is read ahead of need. */
  private static final double SCARCE_FRACTION = 0.5;

  /** Time without a received byte after which a request is refused before others that progress. */
  private static final long STALLED_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Set<Holder> holders = new HashSet<>();
  private final Counter refusedRequests;
  private final long maxBytes;
  private long heldBytes;

  /** Something that holds memory for a caller and can be made to give it up. */
  interface Holder {

    /** Returns how much is held. */
    long heldBytes();

    /** Returns the time at which the holder last received or sent a byte. */
    long lastProgressNanos();

    /** Returns true if the memory can be released at present. */
    boolean isRevocable();

    /** Releases the memory, by refusing a request or closing a connection. */
    void revoke();
  }

  /**
   * Creates an empty account.
   *
   * @param maxBodyBytes maximum size of a body, for which there is always room in calm
   */
  public HeldMemory(int maxBodyBytes, MetricRegistry metrics) {
    this(
        Math.max(
            (long) (Runtime.getRuntime().maxMemory() * HEAP_FRACTION),
            (long) maxBodyBytes + BEYOND_ONE_BODY_BYTES),
        metrics);
  }

  private HeldMemory(long maxBytes, MetricRegistry metrics) {
    Assert.isTrue(maxBytes > 0, "maxBytes must be positive");
    this.maxBytes = maxBytes;
    this.refusedRequests = metrics.counter("memory.refused-for-room");
    Gauge<Long> held = () -> heldBytes;
    metrics.registerGauge("memory.held-bytes", held);
  }

  /** Returns an account that is never full. */
  public static HeldMemory unlimited() {
    return ofBytes(Long.MAX_VALUE, new MetricRegistry());
  }

  /** Returns an account with the given limit. */
  public static HeldMemory ofBytes(long maxBytes, MetricRegistry metrics) {
    return new HeldMemory(maxBytes, metrics);
  }

  /** Returns true if so much is held that nothing should be read ahead of need. */
  boolean isScarce() {
    return heldBytes > maxBytes * SCARCE_FRACTION;
  }

  /**
   * Takes memory if it is available.
   *
   * @return false if the account is full; nothing is taken then
   */
  public boolean tryReserve(long bytes) {
    if (!makeRoom(bytes)) {
      return false;
    }
    heldBytes += bytes;
    return true;
  }

  /** Returns memory that was taken with {@link #tryReserve}. */
  public void release(long bytes) {
    heldBytes -= bytes;
  }

  /**
   * Records that a holder holds more or less than before. If the account is full, holders are made
   * to release their memory, possibly this one.
   */
  void onChange(Holder holder, long changeBytes) {
    heldBytes += changeBytes;
    if (holder.heldBytes() > 0) {
      holders.add(holder);
    } else {
      holders.remove(holder);
    }
    if (changeBytes > 0) {
      makeRoom(0);
    }
  }

  /** Returns true if there is room for so many further bytes, after revoking holders if needed. */
  private boolean makeRoom(long bytes) {
    while (heldBytes > maxBytes - bytes) {
      Optional<Holder> victim = victim();
      if (victim.isEmpty()) {
        return false;
      }
      refusedRequests.inc();
      victim.get().revoke();
    }
    return true;
  }

  private Optional<Holder> victim() {
    long nowNanos = System.nanoTime();
    return holders.stream()
        .filter(Holder::isRevocable)
        .max(
            Comparator.comparing(
                    (Holder holder) -> nowNanos - holder.lastProgressNanos() >= STALLED_NANOS)
                .thenComparingLong(Holder::heldBytes));
  }
}
