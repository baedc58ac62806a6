package org.cornelspoke.coordination.quota;

import java.util.function.Supplier;
import org.cornelspoke.model.TrafficClass;

/** Treats returning requests like new ones. */
enum NoReturns implements ReturnSchedule {
  INSTANCE;

  @Override
  public Arrival onArrival(TrafficClass trafficClass, CallerLimits limits, long nowNanos) {
    return Arrival.NEW;
  }

  @Override
  public ClassAmounts reservedByClass(long nowNanos) {
    return ClassAmounts.NONE;
  }

  @Override
  public int reservedTokens(TrafficClass trafficClass, boolean returning, long nowNanos) {
    return 0;
  }

  @Override
  public int returnsBefore(TrafficClass trafficClass, long endNanos, long nowNanos) {
    return 0;
  }

  @Override
  public void onTokenTaken(long nowNanos) {}

  @Override
  public void refuse(
      TokenWaiter waiter, Supplier<TokenSupply> supply, long retryAfterMillis, long nowNanos) {
    waiter.listener().onRefused(retryAfterMillis);
  }
}
