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

  /** Returns levels that are counted in {@code registry}. */
  public static ServiceLevels of(MetricRegistry registry) {
    return new ServiceLevels(registry);
  }

  /** Counts one event. */
  public void count(Objective objective, OrganisationId organisation, boolean good) {
    count(objective, organisation, good ? 1 : 0, 1);
  }

  /** Counts {@code total} events, of which {@code good} met the objective. */
  public void count(Objective objective, OrganisationId organisation, int good, int total) {
    String name = MetricRegistry.name("slo", objective.wireName(), organisation.value());
    registry.counter(name + ".total").inc(total);
    registry.counter(name + ".good").inc(good);
  }

  /** Records a latency and counts whether it was within its bound. */
  public void time(
      Objective objective, OrganisationId organisation, Duration latency, Duration bound) {
    String name = MetricRegistry.name("latency", objective.wireName(), organisation.value());
    registry.timer(name).update(latency);
    count(objective, organisation, latency.compareTo(bound) <= 0);
  }
}
