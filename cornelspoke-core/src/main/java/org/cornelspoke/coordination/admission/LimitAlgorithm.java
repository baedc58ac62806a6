package org.cornelspoke.coordination.admission;

/** Concurrency limit algorithms. */
public enum LimitAlgorithm {
  /** {@link FixedLimit}. */
  FIXED,
  /** {@link AimdLimit}. */
  AIMD,
  /** {@link GradientLimit}. */
  GRADIENT,
  /** {@link VegasLimit}. */
  VEGAS;

  /** Algorithm with the best measured results (docs/measurements.md). */
  public static final LimitAlgorithm DEFAULT = AIMD;

  /** Creates a limit for an upstream with the given announced slots. */
  public ConcurrencyLimit create(int announcedSlots) {
    return switch (this) {
      case FIXED -> new FixedLimit(announcedSlots);
      case AIMD -> new AimdLimit(announcedSlots);
      case GRADIENT -> new GradientLimit(announcedSlots);
      case VEGAS -> new VegasLimit(announcedSlots);
    };
  }
}
