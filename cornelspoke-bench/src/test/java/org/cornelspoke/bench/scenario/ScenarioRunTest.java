package org.cornelspoke.bench.scenario;

import static com.google.common.truth.Truth.assertThat;

import org.cornelspoke.coordination.admission.LimitAlgorithm;
import org.cornelspoke.model.TrafficClass;
import org.junit.jupiter.api.Test;

/** Guards against scenarios without effect and against failures of class 1 under overload. */
class ScenarioRunTest {

  private static final Variant PRODUCT = new Variant(false, LimitAlgorithm.DEFAULT);

  private static Measurements run(Scenario scenario, Variant variant) {
    return ScenarioRun.run(Deployment.of("softwarehouse"), scenario, variant, 5);
  }

  @Test
  void classOneSurvivesASlowDeepServiceAndTheBaselineDoesNot() {
    Measurements product = run(Scenario.SLOW_DEEP_SERVICE, PRODUCT);
    Measurements naive = run(Scenario.SLOW_DEEP_SERVICE, Variant.NAIVE);
    // The target of 0.99 is checked by classOneReachesItsTargetInASlowDeepService.
    assertThat(product.classRatio(TrafficClass.CRITICAL)).isAtLeast(0.95);
    assertThat(naive.classRatio(TrafficClass.CRITICAL)).isLessThan(0.6);
    assertThat(product.totalRatio()).isGreaterThan(naive.totalRatio());
    assertThat(product.admissionsOverBound()).isEqualTo(0);
  }

  /** Guards against distributing the tokens of an account over its rate without regard to class. */
  @Test
  void classOneReachesItsTargetInASlowDeepService() {
    Measurements product = run(Scenario.SLOW_DEEP_SERVICE, PRODUCT);
    assertThat(product.classRatio(TrafficClass.CRITICAL)).isAtLeast(0.99);
  }

  @Test
  void withdrawnKeyAdmitsNothingLater() {
    Measurements product = run(Scenario.KEYS_WITHDRAWN, PRODUCT);
    assertThat(product.admissionsAfterWithdrawal()).isEqualTo(0);
    assertThat(product.totalRatio()).isAtLeast(0.95);
  }

  @Test
  void idealIsBoundedByCapacityAndPrefersClassOne() {
    Deployment deployment = Deployment.of("softwarehouse");
    double[][] wanted = new double[deployment.types().size()][deployment.accounts().size()];
    for (double[] byAccount : wanted) {
      java.util.Arrays.fill(byAccount, 1e6);
    }
    double[][] completed = new IdealBound(deployment).completedRequests(wanted, 0, 1);
    // Each order holds one of 225 slots for 0.18 s.
    double orders = java.util.Arrays.stream(completed[0]).sum();
    assertThat(orders).isWithin(1).of(225 / 0.18);
    double deepCalls = 0;
    for (double[] byAccount : completed) {
      deepCalls += java.util.Arrays.stream(byAccount).sum();
    }
    assertThat(deepCalls).isAtMost(48 / 0.02 + 1);
  }
}
