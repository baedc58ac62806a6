package org.cornelspoke.bench.scenario;

import org.cornelspoke.coordination.admission.LimitAlgorithm;

/**
 * What is measured: the product's decision classes, or the baseline with a static limit, FIFO
 * queues without classes, retries at every hop and buckets in every daemon.
 */
record Variant(boolean naive, LimitAlgorithm limit) {

  static final Variant NAIVE = new Variant(true, LimitAlgorithm.FIXED);

  String label() {
    return naive ? "naive" : limit.name().toLowerCase(java.util.Locale.ROOT);
  }
}
