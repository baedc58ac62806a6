package org.cornelspoke.bench.scenario;

import org.cornelspoke.coordination.admission.LimitAlgorithm;

/**
 * The admission control under test: the decision classes of the daemon, or a naive baseline with a
 * static limit, FIFO queues without classes, retries at every hop and a token bucket per daemon.
 */
record Variant(boolean naive, LimitAlgorithm limit) {

  static final Variant NAIVE = new Variant(true, LimitAlgorithm.FIXED);

  String label() {
    return naive ? "naive" : limit.name().toLowerCase(java.util.Locale.ROOT);
  }
}
