package org.waxwingcourse.http.server;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Writes metrics in the text form that common collectors read, times in seconds. */
public final class MetricsText {
  private static final String PREFIX = "waxwing_";
  private static final double[] QUANTILES = {0.5, 0.9, 0.99};
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private MetricsText() {}

  /** Returns all metrics as they stand. */
  public static String write(MetricRegistry registry) {
    StringBuilder out = new StringBuilder();
    registry
        .getCounters()
        .forEach(
            (name, c) ->
                out.append(name(name)).append("_total ").append(c.getCount()).append('\n'));
    registry.getGauges().forEach((name, gauge) -> gauge(out, name, gauge));
    registry.getTimers().forEach((name, timer) -> timer(out, name, timer));
    return out.toString();
  }

  private static void gauge(StringBuilder out, String name, Gauge<?> gauge) {
    if (gauge.getValue() instanceof Number number) {
      out.append(name(name)).append(' ').append(number).append('\n');
    }
  }

  private static void timer(StringBuilder out, String name, Timer timer) {
    Snapshot snapshot = timer.getSnapshot();
    String base = name(name) + "_seconds";
    for (double quantile : QUANTILES) {
      double value = snapshot.getValue(quantile) / NANOS_PER_SECOND;
      out.append(String.format(Locale.ROOT, "%s{quantile=\"%s\"} %.6f%n", base, quantile, value));
    }
    out.append(base).append("_count ").append(timer.getCount()).append('\n');
  }

  private static String name(String name) {
    return PREFIX + name.replaceAll("[^a-zA-Z0-9_]", "_");
  }
}
