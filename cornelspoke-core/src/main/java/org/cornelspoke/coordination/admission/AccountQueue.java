package org.cornelspoke.coordination.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/** Waiting requests of one account in one class, with the slot time that the account has used. */
final class AccountQueue {

  private final Deque<GateEntry> entries = new ArrayDeque<>();
  private int waiting;
  private int inFlight;
  private int weight = 1;

  /** Slot time used, divided by weight; the account with the least is served next. */
  private double virtualNanos;

  void add(GateEntry entry) {
    weight = entry.request().weight();
    entries.addLast(entry);
    waiting++;
  }

  /** Removes the oldest or newest waiting entry, or returns null if there is none. */
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

  /** Takes account of an entry that was cancelled; the entry itself is removed later. */
  void onCancelled() {
    waiting--;
    if (waiting == 0) {
      entries.clear();
    }
  }

  /** Removes the entries whose wait has ended. */
  List<GateEntry> removeExpired(long nowNanos, double minServiceNanos) {
    List<GateEntry> expired = new ArrayList<>();
    for (Iterator<GateEntry> all = entries.iterator(); all.hasNext(); ) {
      GateEntry entry = all.next();
      if (entry.state() != GateEntry.State.WAITING) {
        all.remove();
      } else if (entry.waitHasEnded(nowNanos)
          || entry.remainingNanos(nowNanos) <= minServiceNanos) {
        all.remove();
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

  double virtualNanos() {
    return virtualNanos;
  }

  void raiseVirtualNanos(double floor) {
    virtualNanos = Math.max(virtualNanos, floor);
  }

  void onAdmitted(double expectedNanos) {
    inFlight++;
    virtualNanos += expectedNanos / weight;
  }

  void onCompleted(long heldNanos, double chargedNanos) {
    inFlight--;
    virtualNanos += (heldNanos - chargedNanos) / weight;
  }

  boolean isIdle() {
    return waiting == 0 && inFlight == 0;
  }
}
