package org.cornelspoke.coordination.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/** Queued requests of one account in one traffic class and the slot time the account has used. */
final class AccountQueue {

  private final Deque<GateEntry> entries = new ArrayDeque<>();
  private int waiting;
  private int inFlight;
  private int weight = 1;

  /** Slot time used divided by weight; the account with the lowest value is served next. */
  private double virtualTimeNanos;

  void add(GateEntry entry) {
    weight = entry.request().weight();
    entries.addLast(entry);
    waiting++;
  }

  /** Removes and returns the oldest or newest waiting entry, or returns null if none waits. */
  GateEntry poll(boolean newest) {
    while (!entries.isEmpty()) {
      GateEntry entry = newest ? entries.pollLast() : entries.pollFirst();
      if (entry.state() == GateEntry.State.WAITING) {
        waiting--;
        return entry;
      }
    }
    return null;
  }

  /** Updates the count after a cancellation; the cancelled entry is removed lazily. */
  void onCancelled() {
    waiting--;
    if (waiting == 0) {
      entries.clear();
    }
  }

  /** Removes and returns entries that timed out in the queue or can't meet their deadline. */
  List<GateEntry> removeExpired(long nowNanos, double minServiceNanos) {
    List<GateEntry> expired = new ArrayList<>();
    for (Iterator<GateEntry> iterator = entries.iterator(); iterator.hasNext(); ) {
      GateEntry entry = iterator.next();
      if (entry.state() != GateEntry.State.WAITING) {
        iterator.remove();
      } else if (entry.hasQueueTimedOut(nowNanos)
          || entry.remainingNanos(nowNanos) <= minServiceNanos) {
        iterator.remove();
        waiting--;
        expired.add(entry);
      }
    }
    return expired;
  }

  int waiting() {
    return waiting;
  }

  int weight() {
    return weight;
  }

  double waitingPerWeight() {
    return (double) waiting / weight;
  }

  double virtualTimeNanos() {
    return virtualTimeNanos;
  }

  void raiseVirtualTimeNanos(double minNanos) {
    virtualTimeNanos = Math.max(virtualTimeNanos, minNanos);
  }

  void onAdmitted(double expectedNanos) {
    inFlight++;
    virtualTimeNanos += expectedNanos / weight;
  }

  void onCompleted(long heldNanos, double chargedNanos) {
    inFlight--;
    virtualTimeNanos += (heldNanos - chargedNanos) / weight;
  }

  boolean isIdle() {
    return waiting == 0 && inFlight == 0;
  }
}
