package org.waxwingcourse.policy.queue;

/**
 * Learns an engine's step time for each number of streams: the lower quartile of the times between
 * tokens, by stochastic approximation (Robbins and Monro). The quartile leaves out the steps that a
 * new prompt makes longer; a regression over all steps takes those for an effect of the number of
 * streams. Not safe for use by several threads.
 */
final class StepTime {
  private static final double QUARTILE = 0.25;
  private static final double GAIN = 0.005;
  private static final int MIN_OBSERVATIONS = 500;

  private final double[] millis;
  private final int[] observations;

  StepTime(int maxStreams) {
    millis = new double[maxStreams + 1];
    observations = new int[maxStreams + 1];
  }

  void observe(int streams, double observed) {
    if (streams >= millis.length) {
      return;
    }
    if (observations[streams] == 0) {
      millis[streams] = observed;
    }
    double pull = observed < millis[streams] ? QUARTILE - 1 : QUARTILE;
    millis[streams] += pull * GAIN * millis[streams];
    observations[streams]++;
  }

  /** Tells whether a full engine's step takes at most {@code 1 + share} times that of {@code n}. */
  boolean isFlat(int n, double share) {
    int full = millis.length - 1;
    return known(n) && known(full) && millis[full] <= (1 + share) * millis[n];
  }

  private boolean known(int streams) {
    return observations[streams] >= MIN_OBSERVATIONS;
  }
}
