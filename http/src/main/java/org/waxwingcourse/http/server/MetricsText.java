package org.waxwingcourse.http.server;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Writes metrics in the Prometheus text format, with times in seconds. */
public final class MetricsText {
  private static final String PREFIX = "waxwing_";
  private static final double[] QUANTILES = {0.5, 0.9, 0.99};
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private MetricsText() {}

  /** Returns the current values of all metrics. */
  public static String write(MetricRegistry registry) {
    StringBuilder out = new StringBuilder();
    registry
        .getCounters()
        .forEach(
            (name, c) ->
                out.append(metricName(name)).append("_total ").append(c.getCount()).append('\n'));
    registry.getGauges().forEach((name, gauge) -> appendGauge(out, name, gauge));
    registry.getTimers().forEach((name, timer) -> appendTimer(out, name, timer));
    return out.toString();
  }

  private static void appendGauge(StringBuilder out, String name, Gauge<?> gauge) {
    if (gauge.getValue() instanceof Number number) {
      out.append(metricName(name)).append(' ').append(number).append('\n');
    }
  }

  private static void appendTimer(StringBuilder out, String name, Timer timer) {
    Snapshot snapshot = timer.getSnapshot();
    String base = metricName(name) + "_seconds";
    for (double quantile : QUANTILES) {
      double value = snapshot.getValue(quantile) / NANOS_PER_SECOND;
      out.append(String.format(Locale.ROOT, "%s{quantile=\"%s\"} %.6f%n", base, quantile, value));
    }
    out.append(base).append("_count ").append(timer.getCount()).append('\n');
  }

  private static String metricName(String name) {
    return PREFIX + name.replaceAll("[^a-zA-Z0-9_]", "_");
  }
}
