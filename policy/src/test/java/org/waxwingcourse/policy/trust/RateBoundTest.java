package org.waxwingcourse.policy.trust;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.offset;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.waxwingcourse.model.fleet.Rate;
import org.waxwingcourse.model.id.OrganisationId;

/** Checks that all hosts together never admit more than the rate and the burst, whatever fails. */
class RateBoundTest {
  private static final int HOSTS = 6;
  private static final int SEEDS = 12;
  private static final int FAULTS_PER_RUN = 25;
  private static final long STEP_MILLIS = 5;
  private static final double ROUNDING_ERROR = 1e-6;
  private static final OrganisationId ORGANISATION = OrganisationId.of("org");
  private static final Rate RATE = Rate.of(40, 20);
  private static final String DECLARED = "org:40:20";

  /** A fault that is injected into a fleet. */
  private enum Fault {
    LINK_DOWN,
    STORE_UNREACHABLE,
    ISOLATED,
    STORE_DOWN,
    PAUSE,
    CRASH,
    PARTITION,
    WATCH_SILENT,
    REPAIR
  }

  static Stream<Arguments> schedules() {
    return Stream.concat(
        Stream.of(Fault.values())
            .flatMap(f -> LongStream.range(0, 3).mapToObj(s -> Arguments.of(List.of(f), s))),
        LongStream.range(0, SEEDS).mapToObj(s -> Arguments.of(List.of(Fault.values()), s)));
  }

  @ParameterizedTest
  @MethodSource("schedules")
  void boundHoldsUnderFaults(List<Fault> kinds, long seed) {
    Random random = new Random(seed);
    SimulatedRateFleet rates = SimulatedRateFleet.withLending(HOSTS, seed, DECLARED);
    rates.fleet.lossProbability = 0.1;
    rates.fleet.duplicationProbability = 0.1;
    flood(rates, Duration.ofSeconds(20));
    for (int i = 0; i < FAULTS_PER_RUN; i++) {
      inject(rates, kinds.get(random.nextInt(kinds.size())), random);
      flood(rates, Duration.ofMillis(200 + random.nextInt(6_000)));
    }
    assertThat(rates.overrun(ORGANISATION, RATE)).isLessThanOrEqualTo(ROUNDING_ERROR);
    assertThat(rates.histories.get(ORGANISATION).size()).isGreaterThan(100);
  }

  @Test
  void changedRateExceedsNeitherTheLargerBoundNorTheSmallerOneOnceInForce() {
    for (long seed = 0; seed < 5; seed++) {
      SimulatedRateFleet rates = SimulatedRateFleet.withLending(HOSTS, seed, DECLARED);
      flood(rates, Duration.ofSeconds(20));
      rates.fleet.hosts.subList(0, 3).forEach(h -> h.receivesWatch = false);
      rates.fleet.storeConfiguration("org:4:3");
      flood(rates, Duration.ofSeconds(7));
      assertThat(rates.overrun(ORGANISATION, RATE)).isLessThanOrEqualTo(ROUNDING_ERROR);
      rates.histories.clear();
      flood(rates, Duration.ofSeconds(30));
      assertThat(rates.overrun(ORGANISATION, Rate.of(4, 3))).isLessThanOrEqualTo(ROUNDING_ERROR);
      rates.fleet.storeConfiguration(DECLARED);
      flood(rates, Duration.ofSeconds(30));
      assertThat(rates.overrun(ORGANISATION, RATE)).isLessThanOrEqualTo(ROUNDING_ERROR);
    }
  }

  @Test
  void joiningHostsTakeOverSharesWithoutExceedingTheBound() {
    for (long seed = 0; seed < 5; seed++) {
      SimulatedRateFleet rates = SimulatedRateFleet.withLending(HOSTS, seed, DECLARED);
      rates.fleet.hosts.subList(1, HOSTS).forEach(SimulatedFleet.Host::pause);
      flood(rates, Duration.ofSeconds(10));
      for (SimulatedFleet.Host h : rates.fleet.hosts.subList(1, HOSTS)) {
        h.resume();
        flood(rates, Duration.ofSeconds(3));
      }
      flood(rates, Duration.ofSeconds(20));
      assertThat(rates.overrun(ORGANISATION, RATE)).isLessThanOrEqualTo(ROUNDING_ERROR);
    }
  }

  @Test
  void checkerFindsTheWorstWindow() {
    AdmissionHistory history = new AdmissionHistory();
    SimulatedFleet fleet = new SimulatedFleet(1, 1, "k");
    for (int i = 0; i < 25; i++) {
      history.add(fleet.clock.instant());
      fleet.clock.advance(Duration.ofMillis(100));
    }
    assertThat(history.overrun(Rate.of(5, 12))).isCloseTo(1, offset(1e-9));
    assertThat(history.overrun(Rate.of(10, 1))).isLessThanOrEqualTo(ROUNDING_ERROR);
  }

  /** Offers far more requests than the rate allows on every host. */
  private static void flood(SimulatedRateFleet rates, Duration time) {
    for (long t = 0; t < time.toMillis(); t += STEP_MILLIS) {
      for (int i = 0; i < HOSTS; i++) {
        rates.offer(i, ORGANISATION, () -> {});
      }
      rates.fleet.run(Duration.ofMillis(STEP_MILLIS));
    }
  }

  private static void inject(SimulatedRateFleet rates, Fault fault, Random random) {
    SimulatedFleet fleet = rates.fleet;
    int index = random.nextInt(HOSTS);
    SimulatedFleet.Host host = fleet.hosts.get(index);
    SimulatedFleet.Host other = fleet.hosts.get(random.nextInt(HOSTS));
    switch (fault) {
      case LINK_DOWN -> fleet.disconnect(host, other);
      case STORE_UNREACHABLE -> host.disconnectedFromStore = true;
      case ISOLATED -> {
        host.disconnectedFromStore = true;
        fleet.disconnectFromPeers(host);
        fleet.hosts.forEach(h -> h.deadHosts.add(host.id));
      }
      case STORE_DOWN -> fleet.storeUp = random.nextBoolean();
      case PAUSE -> {
        host.pause();
        fleet.hosts.forEach(h -> h.deadHosts.add(host.id));
        fleet.schedule(random.nextInt(20_000), host::resume);
      }
      case CRASH -> rates.restart(index);
      case PARTITION -> {
        List<SimulatedFleet.Host> side = fleet.hosts.subList(0, 2);
        side.forEach(a -> fleet.hosts.subList(2, HOSTS).forEach(b -> fleet.disconnect(a, b)));
        fleet.hosts.subList(2, HOSTS).forEach(b -> side.forEach(a -> b.deadHosts.add(a.id)));
        fleet.hosts.subList(2, HOSTS).forEach(b -> b.disconnectedFromStore = random.nextBoolean());
      }
      case WATCH_SILENT -> host.receivesWatch = false;
      case REPAIR -> repair(fleet);
      default -> throw new IllegalStateException("unknown fault " + fault);
    }
    if (random.nextInt(4) == 0) {
      repair(fleet);
    }
  }

  private static void repair(SimulatedFleet fleet) {
    fleet.blockedLinks.clear();
    fleet.storeUp = true;
    for (SimulatedFleet.Host h : fleet.hosts) {
      h.disconnectedFromStore = false;
      h.receivesWatch = true;
      h.deadHosts.clear();
    }
  }
}
