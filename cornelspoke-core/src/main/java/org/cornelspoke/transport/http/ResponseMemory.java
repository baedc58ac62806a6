package org.cornelspoke.transport.http;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;
import org.cornelspoke.util.Assert;

/**
 * Limits the memory that the incomplete responses of all upstreams of a daemon occupy together. If
 * the limit is exceeded, the largest of them is aborted: a faulty upstream may send endless
 * responses on many connections at once.
 *
 * <p>Confined to the thread of the reactor that the pools use.
 */
public final class ResponseMemory {

  /** Fraction of the heap that incomplete responses may occupy. */
  private static final double HEAP_FRACTION = 0.25;

  private final Set<UpstreamConnection> holders = new HashSet<>();
  private final Counter abortedResponses;
  private long maxBytes = (long) (Runtime.getRuntime().maxMemory() * HEAP_FRACTION);
  private long reservedBytes;

  /** Creates an instance with a limit of a quarter of the heap. */
  public ResponseMemory(MetricRegistry metrics) {
    this.abortedResponses = metrics.counter("upstream.answers-given-up");
  }

  /** Sets the limit. */
  public void setMaxBytes(long bytes) {
    Assert.isTrue(bytes > 0, "bytes must be positive");
    maxBytes = bytes;
  }

  /** Records that the incomplete response of a connection occupies more or less memory. */
  void onChange(UpstreamConnection connection, int changeBytes) {
    if (changeBytes == 0) {
      return;
    }
    reservedBytes += changeBytes;
    if (connection.reservedBytes() > 0) {
      holders.add(connection);
    } else {
      holders.remove(connection);
    }
    if (changeBytes > 0 && reservedBytes > maxBytes) {
      abortedResponses.inc();
      holders.stream()
          .max(Comparator.comparingInt(UpstreamConnection::reservedBytes))
          .ifPresent(UpstreamConnection::abort);
    }
  }
}
