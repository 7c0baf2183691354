package org.waxwingcourse.load.plan;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * Generates the arrivals of a plan: for each organisation a Poisson process whose rate is
 * multiplied during its surges, sampled by the thinning method of Lewis and Shedler. Each
 * organisation has its own random source, so that a change to one organisation leaves the arrivals
 * of the others unchanged.
 */
public final class ArrivalProcess {
  private static final double NANOS_PER_SECOND = 1e9;

  private final LoadPlan plan;

  private ArrivalProcess(LoadPlan plan) {
    this.plan = plan;
  }

  /** Returns all arrivals of a plan in chronological order. */
  public static List<Arrival> arrivalsOf(LoadPlan plan) {
    return new ArrivalProcess(plan).generate();
  }

  private List<Arrival> generate() {
    List<Arrival> arrivals = new ArrayList<>();
    for (OrganisationLoad organisation : plan.organisations()) {
      long seed = plan.seed() * 31 + organisation.name().hashCode();
      addArrivals(organisation, new SplittableRandom(seed), arrivals);
    }
    arrivals.sort(Comparator.comparing(Arrival::scheduledAt));
    return List.copyOf(arrivals);
  }

  private void addArrivals(
      OrganisationLoad organisation, RandomGenerator random, List<Arrival> arrivals) {
    double maxRate = organisation.offeredPerSecond() * maxLoadFactor(organisation);
    double seconds = 0;
    int number = 0;
    while (true) {
      seconds -= Math.log(1 - random.nextDouble()) / maxRate;
      Duration at = Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
      if (at.compareTo(plan.duration()) >= 0) {
        return;
      }
      double rate = organisation.offeredPerSecond() * loadFactorAt(organisation, at);
      if (random.nextDouble() * maxRate < rate) {
        arrivals.add(newArrival(organisation, random, at, number));
        number++;
      }
    }
  }

  private Arrival newArrival(
      OrganisationLoad organisation, RandomGenerator random, Duration at, int number) {
    int prefix = random.nextInt(organisation.prefixes());
    boolean streamed = random.nextDouble() < organisation.streamedShare();
    return new Arrival(at, organisation, number, prefix, streamed);
  }

  private double maxLoadFactor(OrganisationLoad organisation) {
    double maxFactor = 1;
    for (Surge surge : plan.surges()) {
      if (surge.organisation().equals(organisation.name())) {
        maxFactor = Math.max(maxFactor, surge.factor());
      }
    }
    return maxFactor;
  }

  private double loadFactorAt(OrganisationLoad organisation, Duration at) {
    return plan.surges().stream()
        .filter(surge -> surge.covers(organisation.name(), at))
        .mapToDouble(Surge::factor)
        .max()
        .orElse(1);
  }
}
