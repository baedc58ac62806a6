package org.cornelspoke.coordination.retry;

import org.cornelspoke.model.ServiceName;

/** The throttles of a daemon. Not safe for use by several threads. */
public interface RetryThrottles {

  /** Returns the throttle of the requests to a service. */
  RetryThrottle of(ServiceName service);

  /** Sets the extra attempts per request of every throttle, between 0 and 1. */
  void setRatio(double ratio);

  /** Returns throttles of which every service uses the same. */
  static RetryThrottles shared(RetryThrottle throttle) {
    return new RetryThrottles() {
      @Override
      public RetryThrottle of(ServiceName service) {
        return throttle;
      }

      @Override
      public void setRatio(double ratio) {
        throttle.setRatio(ratio);
      }
    };
  }
}
