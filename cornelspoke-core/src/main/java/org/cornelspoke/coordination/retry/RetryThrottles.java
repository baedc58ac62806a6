package org.cornelspoke.coordination.retry;

import org.cornelspoke.model.ServiceName;

/** Retry throttles of a daemon by service. Not safe for use by several threads. */
public interface RetryThrottles {

  /** Returns the throttle for requests to a service. */
  RetryThrottle of(ServiceName service);

  /** Sets the ratio of extra attempts to requests of all throttles, between 0 and 1. */
  void setRatio(double ratio);

  /**
   * Sets the number of daemons that forward requests; they share the extra attempts that do not
   * depend on the number of requests.
   */
  default void setDaemonCount(int count) {}

  /** Returns an instance that uses the same throttle for all services. */
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
