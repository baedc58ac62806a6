package org.cornelspoke.daemon.runtime;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelspoke.coordination.quota.ShareFrame;
import org.cornelspoke.model.VmId;

/**
 * Batches from relays that the owner of the rate shares may not serve yet, in the order of their
 * arrival.
 *
 * <p>It addresses elections after a loss of power: a new leader knows which members are committed
 * only after the first entry of its term, some milliseconds after the relays have reported. If a
 * report were dropped, its relay would have to start a new session, and the rates of all accounts
 * would be withheld for longer than a lease.
 *
 * <p>Not safe for use by several threads.
 */
final class DeferredBatches {

  /** A relay sends a batch every 250 ms without a reply, so this covers several seconds. */
  static final int MAX_BATCHES_PER_RELAY = 32;

  private final Map<VmId, List<List<ShareFrame>>> batches = new LinkedHashMap<>();

  /** Adds a batch, or drops it if the relay has too many. */
  void add(VmId relay, List<ShareFrame> batch) {
    List<List<ShareFrame>> ofRelay = batches.computeIfAbsent(relay, unused -> new ArrayList<>());
    if (ofRelay.size() < MAX_BATCHES_PER_RELAY) {
      ofRelay.add(batch);
    }
  }

  /** Removes and returns the batches of a relay, oldest first. */
  List<List<ShareFrame>> remove(VmId relay) {
    return Optional.ofNullable(batches.remove(relay)).orElse(List.of());
  }

  /** Returns the relays with batches. */
  List<VmId> relays() {
    return List.copyOf(batches.keySet());
  }

  /** Drops all batches, which were meant for a former term. */
  void clear() {
    batches.clear();
  }
}
