package org.cornelspoke.bench.scenario;

import java.util.Arrays;
import org.cornelspoke.model.TrafficClass;

/** Counts of one run by time slot, request type and account, and the metrics of design 1.3. */
final class Measurements {

  private static final double SLOT_SECONDS = 0.5;
  private static final double RECOVERED_FRACTION = 0.95;
  private static final int SLOTS = (int) (Scenario.END / SLOT_SECONDS);

  private final Deployment deployment;
  private final Scenario scenario;
  private final double[][][] offered;
  private final double[][] withinRateCounts;
  private final double[][][] completed;
  private final double[][][] ideal = new double[SLOTS][][];
  private final long[] rateRefusals;
  private final long[] expectedRateRefusals;
  private final long[] attempts;
  private long admissionsOverBound;
  private long admissionsAfterWithdrawal;

  Measurements(Deployment deployment, Scenario scenario) {
    this.deployment = deployment;
    this.scenario = scenario;
    int types = deployment.types().size();
    int accounts = deployment.accounts().size();
    offered = new double[SLOTS][types][accounts];
    withinRateCounts = new double[SLOTS][accounts];
    completed = new double[SLOTS][types][accounts];
    rateRefusals = new long[accounts];
    expectedRateRefusals = new long[accounts];
    attempts = new long[accounts];
  }

  void onOffered(int account, int type, boolean withinRate, long arrivedAtNanos) {
    int slot = slot(arrivedAtNanos);
    if (slot >= SLOTS || !scenario.isCounted(account, second(arrivedAtNanos))) {
      return;
    }
    offered[slot][type][account]++;
    withinRateCounts[slot][account] += withinRate ? 1 : 0;
  }

  /** Counts an attempt at a daemon; {@code withinRate} is the result of a central token bucket. */
  void onAttempt(int account, boolean withinRate, long arrivedAtNanos) {
    if (isMeasured(slot(arrivedAtNanos))) {
      attempts[account]++;
      expectedRateRefusals[account] += withinRate ? 0 : 1;
    }
  }

  void onRateRefused(int account, long arrivedAtNanos) {
    if (isMeasured(slot(arrivedAtNanos))) {
      rateRefusals[account]++;
    }
  }

  void onAdmitted(int account, boolean withinBound, long arrivedAtNanos) {
    admissionsOverBound += withinBound ? 0 : 1;
    if (!scenario.isCounted(account, second(arrivedAtNanos) - 3)) {
      admissionsAfterWithdrawal++;
    }
  }

  void onCompleted(int account, int type, long arrivedAtNanos) {
    int slot = slot(arrivedAtNanos);
    if (slot < SLOTS && scenario.isCounted(account, second(arrivedAtNanos))) {
      completed[slot][type][account]++;
    }
  }

  void setIdeal(IdealBound bound) {
    for (int slot = 0; slot < SLOTS; slot++) {
      ideal[slot] =
          bound.completedRequests(eligibleRequests(slot), slot * SLOT_SECONDS, SLOT_SECONDS);
    }
  }

  /** Returns the requests covered by the tokens of a time slot, higher classes first. */
  private double[][] eligibleRequests(int slot) {
    int types = deployment.types().size();
    double[][] result = new double[types][withinRateCounts[slot].length];
    for (int a = 0; a < withinRateCounts[slot].length; a++) {
      double remaining = withinRateCounts[slot][a];
      for (TrafficClass trafficClass : TrafficClass.values()) {
        double sum = 0;
        for (int t = 0; t < types; t++) {
          boolean inClass = deployment.types().get(t).trafficClass() == trafficClass;
          sum += inClass ? offered[slot][t][a] : 0;
        }
        double fraction = sum == 0 ? 0 : Math.min(1, remaining / sum);
        for (int t = 0; t < types; t++) {
          if (deployment.types().get(t).trafficClass() == trafficClass) {
            result[t][a] = fraction * offered[slot][t][a];
          }
        }
        remaining -= fraction * sum;
      }
    }
    return result;
  }

  /** Returns the ratio of completed requests of a class to the ideal. */
  double classRatio(TrafficClass trafficClass) {
    double sum = 0;
    double idealSum = 0;
    for (int t = 0; t < deployment.types().size(); t++) {
      if (deployment.types().get(t).trafficClass() == trafficClass) {
        for (int slot = firstSlot(); slot < lastSlot(); slot++) {
          sum += Arrays.stream(completed[slot][t]).sum();
          idealSum += Arrays.stream(ideal[slot][t]).sum();
        }
      }
    }
    return idealSum == 0 ? 1 : sum / idealSum;
  }

  double totalRatio() {
    double sum = 0;
    double idealSum = 0;
    for (int slot = firstSlot(); slot < lastSlot(); slot++) {
      sum += total(completed[slot]);
      idealSum += total(ideal[slot]);
    }
    return sum / idealSum;
  }

  /** Returns the ratio of completed requests of an account to its fair share. */
  double accountRatio(int account) {
    double sum = 0;
    double idealSum = 0;
    for (int slot = firstSlot(); slot < lastSlot(); slot++) {
      for (int t = 0; t < deployment.types().size(); t++) {
        sum += completed[slot][t][account];
        idealSum += ideal[slot][t][account];
      }
    }
    return idealSum == 0 ? 1 : sum / idealSum;
  }

  double worstAccountRatio() {
    double worst = Double.MAX_VALUE;
    for (int a = 0; a < attempts.length; a++) {
      worst = Math.min(worst, accountRatio(a));
    }
    return worst;
  }

  /** Returns the seconds from the end of the trigger until the goodput is near the ideal again. */
  double recoverySeconds() {
    int first = (int) (Scenario.TRIGGER_END / SLOT_SECONDS);
    for (int slot = first; slot + 1 < lastSlot(); slot++) {
      if (isRecovered(slot) && isRecovered(slot + 1)) {
        return (slot - first) * SLOT_SECONDS;
      }
    }
    return Double.POSITIVE_INFINITY;
  }

  /** Returns the excess of rate refusals over a central bucket, per attempt within the rate. */
  double wrongfulRefusalRatio() {
    long wrongful = 0;
    long within = 0;
    for (int a = 0; a < attempts.length; a++) {
      wrongful += Math.max(0, rateRefusals[a] - expectedRateRefusals[a]);
      within += attempts[a] - expectedRateRefusals[a];
    }
    return (double) wrongful / within;
  }

  long admissionsOverBound() {
    return admissionsOverBound;
  }

  long admissionsAfterWithdrawal() {
    return admissionsAfterWithdrawal;
  }

  private boolean isRecovered(int slot) {
    return total(completed[slot]) >= RECOVERED_FRACTION * total(ideal[slot]);
  }

  private static double total(double[][] byTypeAndAccount) {
    return Arrays.stream(byTypeAndAccount).flatMapToDouble(Arrays::stream).sum();
  }

  private static boolean isMeasured(int slot) {
    return slot >= firstSlot() && slot < lastSlot();
  }

  private static int firstSlot() {
    return (int) (Scenario.MEASURE_START / SLOT_SECONDS);
  }

  /** Excludes the last two seconds, because their requests may still be in flight. */
  private static int lastSlot() {
    return (int) ((Scenario.END - 2) / SLOT_SECONDS);
  }

  private static int slot(long nanos) {
    return (int) (second(nanos) / SLOT_SECONDS);
  }

  private static double second(long nanos) {
    return (double) nanos / VirtualTime.SECOND;
  }
}
