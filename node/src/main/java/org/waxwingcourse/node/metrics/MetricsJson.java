package org.waxwingcourse.node.metrics;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.TimeUnit;

/** Converts a metric registry to a JSON object with one member per metric. */
public final class MetricsJson {
  private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private final MetricRegistry registry;
  private final ObjectMapper mapper = new ObjectMapper();

  private MetricsJson(MetricRegistry registry) {
    this.registry = registry;
  }

  /** Returns a converter of {@code registry}. */
  public static MetricsJson of(MetricRegistry registry) {
    return new MetricsJson(registry);
  }

  /** Returns the current values of the metrics. Latencies are in milliseconds. */
  public ObjectNode toJson() {
    ObjectNode root = mapper.createObjectNode();
    registry.getMetrics().forEach((name, metric) -> root.set(name, toJson(metric)));
    return root;
  }

  private ObjectNode toJson(Metric metric) {
    ObjectNode node = mapper.createObjectNode();
    if (metric instanceof Gauge<?> gauge) {
      node.putPOJO("value", gauge.getValue());
    }
    if (metric instanceof Counting counting) {
      node.put("count", counting.getCount());
    }
    if (metric instanceof Sampling sampling) {
      putQuantiles(node, sampling.getSnapshot(), metric instanceof Timer ? NANOS_PER_MILLI : 1);
    }
    return node;
  }

  private static void putQuantiles(ObjectNode node, Snapshot snapshot, double divisor) {
    node.put("p50", snapshot.getMedian() / divisor);
    node.put("p95", snapshot.get95thPercentile() / divisor);
    node.put("p99", snapshot.get99thPercentile() / divisor);
    node.put("max", snapshot.getMax() / divisor);
  }
}
