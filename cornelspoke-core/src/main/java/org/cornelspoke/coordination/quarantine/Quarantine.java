package org.cornelspoke.coordination.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.cornelspoke.model.RequestFingerprint;

/**
 * The requests that have run in crashes of upstreams, as known to a daemon. A lookup reads the body
 * of a request only if the request equals an entry in everything else.
 *
 * <p>Immutable.
 */
public final class Quarantine {

  /** Knows no requests. */
  public static final Quarantine EMPTY = new Quarantine(Map.of());

  private final Map<RequestFingerprint, QuarantinedRequest> requests;
  private final Set<Long> headHashes = new HashSet<>();

  Quarantine(Map<RequestFingerprint, QuarantinedRequest> requests) {
    this.requests = new HashMap<>(requests);
    requests.values().forEach(request -> headHashes.add(request.headHash()));
  }

  /** Returns true if no request is known, so that lookups can be omitted. */
  public boolean isEmpty() {
    return requests.isEmpty();
  }

  /** Returns the number of known requests. */
  public int size() {
    return requests.size();
  }

  /** Returns the number of known requests that are refused at the given time. */
  public long refusedCount(long nowNanos) {
    return requests.values().stream().filter(request -> request.isRefused(nowNanos)).count();
  }

  /** Returns true if a request with this hash of its head may be known. */
  public boolean mayContain(long headHash) {
    return headHashes.contains(headHash);
  }

  /** Returns true if the request is known. */
  public boolean contains(RequestFingerprint fingerprint) {
    return requests.containsKey(fingerprint);
  }

  /**
   * Returns true if a request must be refused.
   *
   * @param fingerprint computed only if the hash equals that of a known request
   */
  public boolean refuses(long headHash, Supplier<RequestFingerprint> fingerprint, long nowNanos) {
    if (!mayContain(headHash)) {
      return false;
    }
    QuarantinedRequest request = requests.get(fingerprint.get());
    return request != null && request.isRefused(nowNanos);
  }
}
