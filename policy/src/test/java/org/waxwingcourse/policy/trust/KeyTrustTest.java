package org.waxwingcourse.policy.trust;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.waxwingcourse.model.id.KeyHash;

/** A withdrawn key stops within 5 s on every host, whatever is cut; one that is kept goes on. */
class KeyTrustTest {
  private static final int HOSTS = 5;
  private static final Duration START = Duration.ofSeconds(30);
  private static final Duration STOPPED_BY = Duration.ofSeconds(5);

  /**
   * @param before faults set 20 s before the withdrawal
   * @param after faults set right after the withdrawal has been accepted
   * @param keptOn on how many hosts the other key still works 60 s later
   */
  private record Case(
      String name, Consumer<TrustFleet> before, Consumer<TrustFleet> after, int keptOn) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<Case> cases() {
    return Stream.concat(faultsOfOneHost(), faultsOfSeveral());
  }

  private static Stream<Case> faultsOfOneHost() {
    Consumer<TrustFleet> nothing = f -> {};
    return Stream.of(
        new Case("no fault", nothing, nothing, 5),
        new Case(
            "store down after the withdrawal, heard by one host",
            f -> f.hosts.subList(1, HOSTS).forEach(h -> h.watchWorks = false),
            f -> {
              f.run(Duration.ofMillis(10));
              f.storeUp = false;
            },
            5),
        new Case("host cut from the store", f -> f.hosts.get(0).cutFromStore = true, nothing, 5),
        new Case(
            "host cut from its peers, its watch silent",
            f -> {
              f.cutFromPeers(f.hosts.get(0));
              f.hosts.get(0).watchWorks = false;
            },
            nothing,
            5),
        new Case(
            "host cut from both as the key is withdrawn",
            f -> f.hosts.get(0).watchWorks = false,
            f -> {
              f.hosts.get(0).cutFromStore = true;
              f.cutFromPeers(f.hosts.get(0));
            },
            4),
        new Case(
            "host hears only a lagging peer that hears the others",
            f -> {
              f.hosts.get(0).cutFromStore = true;
              f.hosts.get(1).watchWorks = false;
              f.hosts.subList(2, HOSTS).forEach(h -> f.cut(f.hosts.get(0), h));
            },
            nothing,
            5),
        new Case(
            "one direction of a link is dead",
            f -> {
              f.hosts.get(0).cutFromStore = true;
              f.hosts.forEach(h -> f.cutLinks.add(h.id + " h0"));
            },
            nothing,
            4));
  }

  private static Stream<Case> faultsOfSeveral() {
    Consumer<TrustFleet> nothing = f -> {};
    return Stream.of(
        new Case(
            "minority without store and majority with it",
            f -> {
              f.hosts.subList(0, 2).forEach(h -> h.cutFromStore = true);
              f.hosts.subList(0, 2).forEach(a -> f.hosts.subList(2, 5).forEach(b -> f.cut(a, b)));
            },
            nothing,
            3),
        new Case(
            "messages lost and doubled",
            f -> {
              f.loss = 0.3;
              f.doubling = 0.3;
              f.hosts.get(0).watchWorks = false;
            },
            nothing,
            5),
        new Case(
            "all watches silent", f -> f.hosts.forEach(h -> h.watchWorks = false), nothing, 5));
  }

  @ParameterizedTest
  @MethodSource("cases")
  void withdrawnKeyStops(Case c) {
    TrustFleet fleet = new TrustFleet(HOSTS, 7, "kept", "withdrawn");
    fleet.run(START);
    assertThat(fleet.hosts).allMatch(h -> h.works("withdrawn"));
    c.before().accept(fleet);
    fleet.run(Duration.ofSeconds(20));
    AtomicInteger open = new AtomicInteger(HOSTS);
    KeyHash key = KeyHash.ofKey("withdrawn");
    fleet.hosts.forEach(h -> h.keys.open(key, open::decrementAndGet));
    fleet.store("kept");
    c.after().accept(fleet);
    fleet.run(STOPPED_BY);
    assertThat(fleet.hosts).noneMatch(h -> h.works("withdrawn"));
    assertThat(open).hasValue(0);
    fleet.run(Duration.ofSeconds(55));
    assertThat(fleet.hosts).noneMatch(h -> h.works("withdrawn"));
    assertThat(fleet.hosts.stream().filter(h -> h.works("kept"))).hasSize(c.keptOn());
  }

  @Test
  void keysGoOnThroughALongOutageOnEveryHostThatHearsAMajority() {
    TrustFleet fleet = new TrustFleet(HOSTS, 7, "kept");
    fleet.run(START);
    fleet.storeUp = false;
    fleet.cutFromPeers(fleet.hosts.get(0));
    fleet.run(Duration.ofSeconds(10));
    for (int i = 0; i < 300; i++) {
      fleet.run(Duration.ofSeconds(2));
      assertThat(fleet.hosts.subList(1, HOSTS)).allMatch(h -> h.works("kept"));
      assertThat(fleet.hosts.get(0).works("kept")).isFalse();
    }
  }

  @Test
  void pausedHostRefusesFromItsFirstStepAfterThePause() {
    TrustFleet fleet = new TrustFleet(HOSTS, 7, "kept", "withdrawn");
    fleet.run(START);
    TrustFleet.Host host = fleet.hosts.get(0);
    AtomicInteger ended = new AtomicInteger();
    host.keys.open(KeyHash.ofKey("withdrawn"), ended::incrementAndGet);
    host.pause();
    fleet.store("kept");
    fleet.run(Duration.ofMinutes(1));
    assertThat(host.works("withdrawn")).isFalse();
    assertThat(host.works("kept")).isFalse();
    host.resume();
    assertThat(ended).hasValue(1);
    fleet.run(Duration.ofSeconds(2));
    assertThat(host.works("kept")).isTrue();
    assertThat(host.works("withdrawn")).isFalse();
  }

  @Test
  void leftOverMajorityWithoutStoreMissesAWithdrawalUntilALinkHeals() {
    TrustFleet fleet = new TrustFleet(HOSTS, 7, "kept", "withdrawn");
    fleet.run(START);
    List<TrustFleet.Host> majority = fleet.hosts.subList(0, 3);
    majority.forEach(h -> h.cutFromStore = true);
    majority.forEach(a -> fleet.hosts.subList(3, 5).forEach(b -> fleet.cut(a, b)));
    fleet.run(Duration.ofSeconds(20));
    fleet.store("kept");
    fleet.run(STOPPED_BY);
    assertThat(majority).allMatch(h -> h.works("withdrawn"));
    fleet.cutLinks.remove("h0 h4");
    fleet.cutLinks.remove("h4 h0");
    fleet.run(STOPPED_BY);
    assertThat(fleet.hosts).noneMatch(h -> h.works("withdrawn"));
  }
}
