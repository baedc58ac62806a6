package org.cornelspoke.coordination.admission;

/** Algorithms of the concurrency limit. */
public enum LimitAlgorithm {
  /** {@link FixedLimit}. */
  FIXED,
  /** {@link AimdLimit}. */
  AIMD,
  /** {@link GradientLimit}. */
  GRADIENT,
  /** {@link VegasLimit}. */
  VEGAS;

  /** The algorithm that measures best (docs/measurements.md). */
  public static final LimitAlgorithm DEFAULT = AIMD;

  /** Creates a limit for an upstream that has just announced its slots. */
  public ConcurrencyLimit create(int announcedSlots) {
    return switch (this) {
      case FIXED -> new FixedLimit(announcedSlots);
      case AIMD -> new AimdLimit(announcedSlots);
      case GRADIENT -> new GradientLimit(announcedSlots);
      case VEGAS -> new VegasLimit(announcedSlots);
    };
  }
}
