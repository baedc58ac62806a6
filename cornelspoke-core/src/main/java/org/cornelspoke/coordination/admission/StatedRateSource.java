package org.cornelspoke.coordination.admission;

import java.util.Optional;

/** One kind of statement that limits the rate of requests to an upstream. */
interface StatedRateSource {

  /** Returns the rate that follows from the statements so far, or empty if it is not limited. */
  Optional<StatedRate> rate(long nowNanos);
}
