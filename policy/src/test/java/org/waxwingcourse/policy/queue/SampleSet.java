package org.waxwingcourse.policy.queue;

import java.util.Arrays;

/** A growing list of samples that computes percentiles. */
final class SampleSet {
  private double[] values = new double[1024];
  private int size;

  void add(double value) {
    if (size == values.length) {
      values = Arrays.copyOf(values, 2 * size);
    }
    values[size++] = value;
  }

  int size() {
    return size;
  }

  double percentile(double share) {
    if (size == 0) {
      return 0;
    }
    double[] sorted = Arrays.copyOf(values, size);
    Arrays.sort(sorted);
    return sorted[(int) Math.min(size - 1L, Math.round(share * size))];
  }
}
