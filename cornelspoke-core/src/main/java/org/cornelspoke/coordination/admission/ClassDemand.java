package org.cornelspoke.coordination.admission;

import java.util.HashMap;
import java.util.Map;
import org.cornelspoke.model.AccountId;

/**
 * Slots that the requests of one root class would use at a gate if none were refused at the root,
 * by account.
 *
 * <p>The total follows changes within 300 ms, the parts of the accounts within two seconds: an
 * account has only a few requests a second at one gate, so that a shorter average would take chance
 * for demand.
 */
final class ClassDemand {

  private static final double TOTAL_WEIGHT = 0.35;
  private static final double ACCOUNT_WEIGHT = 0.033;

  /** Weight of a new slot time; the mean covers about the last 50 requests. */
  private static final double SLOT_TIME_WEIGHT = 0.04;

  /**
   * Part of an excess that is corrected in each window. A time constant of 3 s is slow against the
   * delay until roots follow a report, so that the correction doesn't oscillate.
   */
  private static final double EXCESS_GAIN = 0.03;

  private static final double MIN_EXCESS_CORRECTION = 0.3;

  /** Accounts below this many slots are forgotten. */
  private static final double MIN_SLOTS = 1e-6;

  /** Bounds the state; requests of further accounts count for the class only. */
  private static final int MAX_ACCOUNTS = 1_000;

  private static final class Demand {
    private double arrivedNanos;
    private double slots;
    private int weight;
    private double room = 1;
  }

  private final Map<AccountId, Demand> accounts = new HashMap<>();
  private double[] demands = new double[0];
  private int[] weights = new int[0];
  private double begunSlotNanos;
  private double newSlotNanos;
  private double arrivedNanos;
  private double begunNanos;
  private double admittedNanos;
  private double usedNanos;
  private double slots;
  private double begunSlots;
  private double admittedSlots;
  private double usedSlots;
  private double excessCorrection = 1;
  private double room = 1;

  /**
   * Counts a request.
   *
   * @param admittedFraction fraction of such requests that the root admitted
   */
  void onArrival(GateRequest request, double admittedFraction) {
    double nanos = (request.begun() ? begunSlotNanos : newSlotNanos) / admittedFraction;
    arrivedNanos += nanos;
    if (request.begun()) {
      begunNanos += nanos;
      admittedNanos += begunSlotNanos;
    }
    Demand demand = accounts.get(request.account());
    if (demand == null && accounts.size() < MAX_ACCOUNTS) {
      demand = new Demand();
      accounts.put(request.account(), demand);
    }
    if (demand != null) {
      demand.arrivedNanos += nanos;
      demand.weight = request.weight();
    }
  }

  void onServed(boolean begun, long heldNanos) {
    usedNanos += heldNanos;
    if (begun) {
      begunSlotNanos = smoothed(begunSlotNanos, heldNanos);
    } else {
      newSlotNanos = smoothed(newSlotNanos, heldNanos);
    }
  }

  /** Ends a window of measurement. */
  void endWindow(long elapsedNanos) {
    slots += TOTAL_WEIGHT * (arrivedNanos / elapsedNanos - slots);
    begunSlots += TOTAL_WEIGHT * (begunNanos / elapsedNanos - begunSlots);
    admittedSlots += TOTAL_WEIGHT * (admittedNanos / elapsedNanos - admittedSlots);
    usedSlots += TOTAL_WEIGHT * (usedNanos / elapsedNanos - usedSlots);
    for (Demand demand : accounts.values()) {
      demand.slots += ACCOUNT_WEIGHT * (demand.arrivedNanos / elapsedNanos - demand.slots);
    }
    accounts.values().removeIf(demand -> demand.arrivedNanos == 0 && demand.slots < MIN_SLOTS);
    discardWindow();
  }

  /** Forgets what was counted since the last window. */
  void discardWindow() {
    arrivedNanos = 0;
    begunNanos = 0;
    admittedNanos = 0;
    usedNanos = 0;
    for (Demand demand : accounts.values()) {
      demand.arrivedNanos = 0;
    }
  }

  /** Divides the capacity among the accounts and returns the slots that it leaves. */
  double allocate(double capacitySlots) {
    room = slots <= capacitySlots ? 1 : capacitySlots / slots;
    correctExcess();
    if (room == 1) {
      accounts.values().forEach(demand -> demand.room = 1);
      return capacitySlots - slots;
    }
    double level = level(capacitySlots * excessCorrection);
    room *= excessCorrection;
    for (Demand demand : accounts.values()) {
      double share = level * demand.weight;
      demand.room = demand.slots <= share ? 1 : share / demand.slots;
    }
    return 0;
  }

  /** Returns the fraction of the account's requests for which there is capacity. */
  double room(AccountId account) {
    Demand demand = accounts.get(account);
    return demand == null ? room : demand.room;
  }

  /** Returns the fraction of the class's requests for which there is capacity. */
  double room() {
    return room;
  }

  /** Returns the mean time for which a call of an admitted chain holds its slot. */
  double begunSlotNanos() {
    return begunSlotNanos;
  }

  double usedSlots() {
    return usedSlots;
  }

  int accountCount() {
    return accounts.size();
  }

  /**
   * Lowers the shares while roots admit more than the capacity. Chance in the demand of accounts
   * with few requests causes that, because an account that seems idle isn't held back.
   */
  private void correctExcess() {
    if (room == 1 || begunSlots == 0) {
      excessCorrection += EXCESS_GAIN * (1 - excessCorrection);
      return;
    }
    double admittedFraction = admittedSlots / begunSlots;
    double factor = Math.pow(room / admittedFraction, EXCESS_GAIN);
    excessCorrection = Math.max(MIN_EXCESS_CORRECTION, Math.min(1, excessCorrection * factor));
  }

  /** Returns the level of the shares in the slower averages of the accounts. */
  private double level(double capacitySlots) {
    if (demands.length < accounts.size()) {
      demands = new double[accounts.size()];
      weights = new int[accounts.size()];
    }
    double sum = 0;
    int count = 0;
    for (Demand demand : accounts.values()) {
      demands[count] = demand.slots;
      weights[count] = demand.weight;
      sum += demand.slots;
      count++;
    }
    return MaxMinShares.level(demands, weights, count, capacitySlots * sum / slots);
  }

  private static double smoothed(double mean, long nanos) {
    return mean == 0 ? nanos : mean + SLOT_TIME_WEIGHT * (nanos - mean);
  }
}
