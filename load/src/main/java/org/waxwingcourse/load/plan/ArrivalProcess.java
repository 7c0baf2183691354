package org.waxwingcourse.load.plan;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * Draws the arrivals of a plan: a Poisson process for each organisation, whose rate rises in its
 * surges (Lewis and Shedler's thinning). Each organisation has a random source of its own, so a
 * change to one leaves the others' arrivals as they were.
 */
public final class ArrivalProcess {
  private static final double NANOS_PER_SECOND = 1e9;

  private final LoadPlan plan;

  private ArrivalProcess(LoadPlan plan) {
    this.plan = plan;
  }

  /** Returns all arrivals of a plan in the order of time. */
  public static List<Arrival> of(LoadPlan plan) {
    return new ArrivalProcess(plan).draw();
  }

  private List<Arrival> draw() {
    List<Arrival> arrivals = new ArrayList<>();
    for (OrganisationLoad organisation : plan.organisations()) {
      long seed = plan.seed() * 31 + organisation.name().hashCode();
      drawOf(organisation, new SplittableRandom(seed), arrivals);
    }
    arrivals.sort(Comparator.comparing(Arrival::at));
    return List.copyOf(arrivals);
  }

  private void drawOf(OrganisationLoad organisation, RandomGenerator random, List<Arrival> into) {
    double highest = organisation.offeredPerSecond() * highestFactor(organisation);
    double seconds = 0;
    int number = 0;
    while (true) {
      seconds -= Math.log(1 - random.nextDouble()) / highest;
      Duration at = Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
      if (at.compareTo(plan.duration()) >= 0) {
        return;
      }
      double rate = organisation.offeredPerSecond() * factorAt(organisation, at);
      if (random.nextDouble() * highest < rate) {
        into.add(arrival(organisation, random, at, number));
        number++;
      }
    }
  }

  private Arrival arrival(
      OrganisationLoad organisation, RandomGenerator random, Duration at, int number) {
    int prefix = random.nextInt(organisation.prefixes());
    boolean streamed = random.nextDouble() < organisation.streamedShare();
    return new Arrival(at, organisation, number, prefix, streamed);
  }

  private double highestFactor(OrganisationLoad organisation) {
    double highest = 1;
    for (Surge surge : plan.surges()) {
      if (surge.organisation().equals(organisation.name())) {
        highest = Math.max(highest, surge.factor());
      }
    }
    return highest;
  }

  private double factorAt(OrganisationLoad organisation, Duration at) {
    return plan.surges().stream()
        .filter(surge -> surge.covers(organisation.name(), at))
        .mapToDouble(Surge::factor)
        .max()
        .orElse(1);
  }
}
