package org.waxwingcourse.load.report;

import org.HdrHistogram.Histogram;

/**
 * A distribution of latencies in milliseconds.
 *
 * @param count number of values
 * @param p50 median
 * @param p95 95th percentile
 * @param p99 99th percentile
 * @param p999 99.9th percentile
 * @param max largest value
 */
public record Quantiles(long count, double p50, double p95, double p99, double p999, double max) {
  private static final double MICROS_PER_MILLI = 1000;

  /** Returns the quantiles of a histogram whose values are microseconds. */
  public static Quantiles ofMicros(Histogram histogram) {
    return new Quantiles(
        histogram.getTotalCount(),
        histogram.getValueAtPercentile(50) / MICROS_PER_MILLI,
        histogram.getValueAtPercentile(95) / MICROS_PER_MILLI,
        histogram.getValueAtPercentile(99) / MICROS_PER_MILLI,
        histogram.getValueAtPercentile(99.9) / MICROS_PER_MILLI,
        histogram.getMaxValue() / MICROS_PER_MILLI);
  }
}
