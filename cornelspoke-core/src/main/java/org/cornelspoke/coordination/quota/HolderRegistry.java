package org.cornelspoke.coordination.quota;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * The holders of one account at an owner, and sums over them. A change of a holder updates the
 * sums, so that their cost does not depend on the number of holders.
 */
final class HolderRegistry implements Iterable<HolderState> {

  /** Updates for each holder after which the sums are computed anew, to limit rounding errors. */
  private static final int UPDATES_PER_RECOMPUTATION = 8;

  private final Map<String, HolderState> holders = new LinkedHashMap<>();
  private int updates;
  private double rate;
  private double burst;
  private double level;
  private ClassAmounts demandPerSecond = ClassAmounts.NONE;
  private ClassAmounts waiting = ClassAmounts.NONE;

  Optional<HolderState> find(String holder) {
    return Optional.ofNullable(holders.get(holder));
  }

  /** Adds a holder, which replaces the one of the same name. */
  void put(HolderState state) {
    HolderState previous = holders.put(state.holder(), state);
    if (previous != null) {
      subtract(previous);
    }
    add(state);
  }

  /** Changes a holder that is registered. */
  void update(HolderState state, Consumer<HolderState> change) {
    updateAndGet(
        state,
        changed -> {
          change.accept(changed);
          return null;
        });
  }

  /** Changes a holder that is registered and returns the result of the change. */
  <T> T updateAndGet(HolderState state, Function<HolderState, T> change) {
    subtract(state);
    T result = change.apply(state);
    add(state);
    updates++;
    if (updates >= UPDATES_PER_RECOMPUTATION * holders.size()) {
      recompute();
    }
    return result;
  }

  /** Removes the holders that match, and calls the listener with each. */
  void removeIf(Predicate<HolderState> condition, Consumer<HolderState> listener) {
    boolean removed = false;
    for (Iterator<HolderState> iterator = iterator(); iterator.hasNext(); ) {
      HolderState state = iterator.next();
      if (condition.test(state)) {
        iterator.remove();
        removed = true;
        listener.accept(state);
      }
    }
    if (removed) {
      recompute();
    }
  }

  void clear() {
    holders.clear();
    recompute();
  }

  boolean isEmpty() {
    return holders.isEmpty();
  }

  int size() {
    return holders.size();
  }

  @Override
  public Iterator<HolderState> iterator() {
    return holders.values().iterator();
  }

  /** Returns the issued rate in tokens per second. */
  double rate() {
    return Math.max(0, rate);
  }

  /** Returns the issued burst in tokens. */
  double burst() {
    return Math.max(0, burst);
  }

  /** Returns an estimate of the tokens that the holders have. */
  double level() {
    return Math.max(0, level);
  }

  ClassAmounts demandPerSecond() {
    return demandPerSecond;
  }

  ClassAmounts waiting() {
    return waiting;
  }

  private void recompute() {
    updates = 0;
    rate = 0;
    burst = 0;
    level = 0;
    demandPerSecond = ClassAmounts.NONE;
    waiting = ClassAmounts.NONE;
    holders.values().forEach(this::add);
  }

  private void add(HolderState state) {
    rate += state.rate();
    burst += state.burst();
    level += Math.min(state.burst(), state.reportedLevel());
    demandPerSecond = demandPerSecond.plus(state.demandPerSecond());
    waiting = waiting.plus(state.waiting());
  }

  private void subtract(HolderState state) {
    rate -= state.rate();
    burst -= state.burst();
    level -= Math.min(state.burst(), state.reportedLevel());
    demandPerSecond = demandPerSecond.minus(state.demandPerSecond());
    waiting = waiting.minus(state.waiting());
  }
}
