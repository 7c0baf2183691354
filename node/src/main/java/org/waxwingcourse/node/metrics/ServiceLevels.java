package org.waxwingcourse.node.metrics;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import org.waxwingcourse.model.id.OrganisationId;

/**
 * Counts, for each organisation and objective, the events and those of them that met the objective.
 *
 * <p>Counters are named {@code slo.<objective>.<organisation>.total} and {@code .good}; latencies
 * are timers named {@code latency.<objective>.<organisation>}.
 */
public final class ServiceLevels {
  private final MetricRegistry registry;

  private ServiceLevels(MetricRegistry registry) {
    this.registry = registry;
  }

  /** Returns service levels whose metrics are registered in {@code registry}. */
  public static ServiceLevels of(MetricRegistry registry) {
    return new ServiceLevels(registry);
  }

  /** Counts one event; {@code good} says whether it met the objective. */
  public void countEvents(Objective objective, OrganisationId organisation, boolean good) {
    countEvents(objective, organisation, good ? 1 : 0, 1);
  }

  /** Counts {@code total} events, of which {@code good} met the objective. */
  public void countEvents(Objective objective, OrganisationId organisation, int good, int total) {
    String name = MetricRegistry.name("slo", objective.wireName(), organisation.value());
    registry.counter(name + ".total").inc(total);
    registry.counter(name + ".good").inc(good);
  }

  /** Records a latency and counts whether it was at most {@code target}. */
  public void recordLatency(
      Objective objective, OrganisationId organisation, Duration latency, Duration target) {
    String name = MetricRegistry.name("latency", objective.wireName(), organisation.value());
    registry.timer(name).update(latency);
    countEvents(objective, organisation, latency.compareTo(target) <= 0);
  }
}
