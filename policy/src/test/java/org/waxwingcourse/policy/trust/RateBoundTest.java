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

/** Never more than the rate and the burst over all hosts together, whatever fails. */
class RateBoundTest {
  private static final int HOSTS = 6;
  private static final int SEEDS = 12;
  private static final int FAULTS = 25;
  private static final long STEP_MILLIS = 5;
  private static final double ROUNDING = 1e-6;
  private static final OrganisationId ORGANISATION = OrganisationId.of("org");
  private static final Rate RATE = Rate.of(40, 20);
  private static final String DECLARED = "org:40:20";

  /** A fault that befalls a fleet. */
  private enum Fault {
    CUT_LINK,
    CUT_FROM_STORE,
    CUT_OFF,
    STORE_DOWN,
    PAUSE,
    KILL,
    SPLIT,
    SILENT_WATCH,
    HEAL
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
    RateFleet rates = RateFleet.chosen(HOSTS, seed, DECLARED);
    rates.fleet.loss = 0.1;
    rates.fleet.doubling = 0.1;
    flood(rates, Duration.ofSeconds(20));
    for (int i = 0; i < FAULTS; i++) {
      strike(rates, kinds.get(random.nextInt(kinds.size())), random);
      flood(rates, Duration.ofMillis(200 + random.nextInt(6_000)));
    }
    assertThat(rates.overrun(ORGANISATION, RATE)).isLessThanOrEqualTo(ROUNDING);
    assertThat(rates.histories.get(ORGANISATION).size()).isGreaterThan(100);
  }

  @Test
  void changedRateOverrunsNeitherTheLargerNorOnceInForceTheSmaller() {
    for (long seed = 0; seed < 5; seed++) {
      RateFleet rates = RateFleet.chosen(HOSTS, seed, DECLARED);
      flood(rates, Duration.ofSeconds(20));
      rates.fleet.hosts.subList(0, 3).forEach(h -> h.watchWorks = false);
      rates.fleet.store("org:4:3");
      flood(rates, Duration.ofSeconds(7));
      assertThat(rates.overrun(ORGANISATION, RATE)).isLessThanOrEqualTo(ROUNDING);
      rates.histories.clear();
      flood(rates, Duration.ofSeconds(30));
      assertThat(rates.overrun(ORGANISATION, Rate.of(4, 3))).isLessThanOrEqualTo(ROUNDING);
      rates.fleet.store(DECLARED);
      flood(rates, Duration.ofSeconds(30));
      assertThat(rates.overrun(ORGANISATION, RATE)).isLessThanOrEqualTo(ROUNDING);
    }
  }

  @Test
  void joiningHostsTakeSharesOverWithoutOverrun() {
    for (long seed = 0; seed < 5; seed++) {
      RateFleet rates = RateFleet.chosen(HOSTS, seed, DECLARED);
      rates.fleet.hosts.subList(1, HOSTS).forEach(TrustFleet.Host::pause);
      flood(rates, Duration.ofSeconds(10));
      for (TrustFleet.Host h : rates.fleet.hosts.subList(1, HOSTS)) {
        h.resume();
        flood(rates, Duration.ofSeconds(3));
      }
      flood(rates, Duration.ofSeconds(20));
      assertThat(rates.overrun(ORGANISATION, RATE)).isLessThanOrEqualTo(ROUNDING);
    }
  }

  @Test
  void checkerFindsTheWorstWindow() {
    AdmissionHistory history = new AdmissionHistory();
    TrustFleet fleet = new TrustFleet(1, 1, "k");
    for (int i = 0; i < 25; i++) {
      history.add(fleet.clock.instant());
      fleet.clock.advance(Duration.ofMillis(100));
    }
    assertThat(history.overrun(Rate.of(5, 12))).isCloseTo(1, offset(1e-9));
    assertThat(history.overrun(Rate.of(10, 1))).isLessThanOrEqualTo(ROUNDING);
  }

  /** Offers far more than the rate on every host. */
  private static void flood(RateFleet rates, Duration time) {
    for (long t = 0; t < time.toMillis(); t += STEP_MILLIS) {
      for (int i = 0; i < HOSTS; i++) {
        rates.offer(i, ORGANISATION, () -> {});
      }
      rates.fleet.run(Duration.ofMillis(STEP_MILLIS));
    }
  }

  private static void strike(RateFleet rates, Fault fault, Random random) {
    TrustFleet fleet = rates.fleet;
    int index = random.nextInt(HOSTS);
    TrustFleet.Host host = fleet.hosts.get(index);
    TrustFleet.Host other = fleet.hosts.get(random.nextInt(HOSTS));
    switch (fault) {
      case CUT_LINK -> fleet.cut(host, other);
      case CUT_FROM_STORE -> host.cutFromStore = true;
      case CUT_OFF -> {
        host.cutFromStore = true;
        fleet.cutFromPeers(host);
        fleet.hosts.forEach(h -> h.dead.add(host.id));
      }
      case STORE_DOWN -> fleet.storeUp = random.nextBoolean();
      case PAUSE -> {
        host.pause();
        fleet.hosts.forEach(h -> h.dead.add(host.id));
        fleet.later(random.nextInt(20_000), host::resume);
      }
      case KILL -> rates.restart(index);
      case SPLIT -> {
        List<TrustFleet.Host> side = fleet.hosts.subList(0, 2);
        side.forEach(a -> fleet.hosts.subList(2, HOSTS).forEach(b -> fleet.cut(a, b)));
        fleet.hosts.subList(2, HOSTS).forEach(b -> side.forEach(a -> b.dead.add(a.id)));
        fleet.hosts.subList(2, HOSTS).forEach(b -> b.cutFromStore = random.nextBoolean());
      }
      case SILENT_WATCH -> host.watchWorks = false;
      case HEAL -> heal(fleet);
      default -> throw new IllegalStateException("unknown fault " + fault);
    }
    if (random.nextInt(4) == 0) {
      heal(fleet);
    }
  }

  private static void heal(TrustFleet fleet) {
    fleet.cutLinks.clear();
    fleet.storeUp = true;
    for (TrustFleet.Host h : fleet.hosts) {
      h.cutFromStore = false;
      h.watchWorks = true;
      h.dead.clear();
    }
  }
}
