package org.cornelspoke.coordination.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.state.config.Account;
import org.cornelspoke.state.registry.Target;
import org.cornelspoke.state.registry.TargetState;
import org.cornelspoke.state.view.FleetView;
import org.junit.jupiter.api.Test;

/**
 * Guards against accounts that are not served while no shares are issued, and against floors that
 * add up to more than the configured fraction.
 */
final class FloorRateLimiterTest {

  private static final AccountId ACCOUNT = new AccountId("a");
  private static final double FLOOR_FRACTION = 0.15;

  @Test
  void floorsOfAllDaemonsAddUpToTheFloorFraction() {
    int admitted = 0;
    for (int daemon = 0; daemon < 10; daemon++) {
      admitted +=
          admitted(new FloorRateLimiter(new NoShares(), () -> view(10, 100), FLOOR_FRACTION));
    }

    int seconds = 20;
    assertThat(admitted).isAtMost((int) (seconds * 100 * FLOOR_FRACTION) + 10);
    assertThat(admitted).isAtLeast((int) (seconds * 100 * FLOOR_FRACTION * 0.9));
  }

  @Test
  void largeFleetHasNoFloor() {
    assertThat(admitted(new FloorRateLimiter(new NoShares(), () -> view(21, 100), FLOOR_FRACTION)))
        .isEqualTo(0);
  }

  @Test
  void unknownAccountHasNoFloor() {
    assertThat(
            admitted(new FloorRateLimiter(new NoShares(), () -> FleetView.EMPTY, FLOOR_FRACTION)))
        .isEqualTo(0);
  }

  /** Returns the number of requests that one daemon admits in 20 s of steady overload. */
  private static int admitted(RateLimiter limiter) {
    int[] admitted = new int[1];
    for (int millis = 0; millis < 20_000; millis += 5) {
      limiter.acquire(
          ACCOUNT,
          0,
          new RateLimiter.Listener() {
            @Override
            public void onGranted() {
              admitted[0]++;
            }

            @Override
            public void onRefused(long retryAfterMillis) {
              // The caller counts admissions only.
            }
          },
          TimeUnit.MILLISECONDS.toNanos(millis));
    }
    return admitted[0];
  }

  private static FleetView view(int daemons, double rate) {
    ServiceName service = new ServiceName("s");
    List<Target> targets = new ArrayList<>();
    for (int i = 1; i <= daemons; i++) {
      targets.add(
          new Target(
              new TargetId("t" + i),
              service,
              new DaemonId("d" + i),
              new DataCentreId("z"),
              new Endpoint("10.0.0." + i, 1),
              1,
              TargetState.UP));
    }
    return new FleetView(
        new Revision(2), List.of(new Account(ACCOUNT, rate, rate, 1)), Map.of(service, targets));
  }

  /** A limiter without shares. */
  private static final class NoShares implements RateLimiter {
    @Override
    public void acquire(AccountId account, long deadline, Listener listener, long now) {
      listener.onRefused(1);
    }
  }
}
