package org.waxwingcourse.policy.queue;

/**
 * Estimates an engine's step time for each number of streams as the lower quartile of the times
 * between tokens, by stochastic approximation (Robbins and Monro). The quartile excludes steps that
 * are lengthened by the prefill of a new prompt; a regression over all steps would attribute that
 * time to the number of streams. Not thread-safe.
 */
final class StepTime {
  private static final double QUARTILE = 0.25;
  private static final double GAIN = 0.005;
  private static final int MIN_OBSERVATIONS = 500;

  private final double[] quartileMillis;
  private final int[] observations;

  StepTime(int maxStreams) {
    quartileMillis = new double[maxStreams + 1];
    observations = new int[maxStreams + 1];
  }

  void observe(int streams, double stepMillis) {
    if (streams >= quartileMillis.length) {
      return;
    }
    if (observations[streams] == 0) {
      quartileMillis[streams] = stepMillis;
    }
    double direction = stepMillis < quartileMillis[streams] ? QUARTILE - 1 : QUARTILE;
    quartileMillis[streams] += direction * GAIN * quartileMillis[streams];
    observations[streams]++;
  }

  /**
   * Returns whether the step time of a full engine is at most {@code 1 + tolerance} times that with
   * {@code n} streams.
   */
  boolean isFlat(int n, double tolerance) {
    int full = quartileMillis.length - 1;
    return hasEnoughObservations(n)
        && hasEnoughObservations(full)
        && quartileMillis[full] <= (1 + tolerance) * quartileMillis[n];
  }

  private boolean hasEnoughObservations(int streams) {
    return observations[streams] >= MIN_OBSERVATIONS;
  }
}
