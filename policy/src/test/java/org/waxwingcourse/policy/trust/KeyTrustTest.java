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

/**
 * Checks that every host rejects a withdrawn key within 5 s whatever connections fail, and that
 * other keys remain valid.
 */
class KeyTrustTest {
  private static final int HOSTS = 5;
  private static final Duration START_UP = Duration.ofSeconds(30);
  private static final Duration REJECTED_WITHIN = Duration.ofSeconds(5);

  /**
   * @param before injects faults 20 s before the withdrawal
   * @param after injects faults immediately after the withdrawal has been accepted
   * @param hostsAcceptingKeptKey number of hosts that accept the other key 60 s later
   */
  private record Case(
      String name,
      Consumer<SimulatedFleet> before,
      Consumer<SimulatedFleet> after,
      int hostsAcceptingKeptKey) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<Case> cases() {
    return Stream.concat(faultsOfOneHost(), faultsOfSeveral());
  }

  private static Stream<Case> faultsOfOneHost() {
    Consumer<SimulatedFleet> nothing = f -> {};
    return Stream.of(
        new Case("no fault", nothing, nothing, 5),
        new Case(
            "store down after the withdrawal, received by one host",
            f -> f.hosts.subList(1, HOSTS).forEach(h -> h.receivesWatch = false),
            f -> {
              f.run(Duration.ofMillis(10));
              f.storeUp = false;
            },
            5),
        new Case(
            "host disconnected from the store",
            f -> f.hosts.get(0).disconnectedFromStore = true,
            nothing,
            5),
        new Case(
            "host disconnected from its peers, its watch silent",
            f -> {
              f.disconnectFromPeers(f.hosts.get(0));
              f.hosts.get(0).receivesWatch = false;
            },
            nothing,
            5),
        new Case(
            "host disconnected from both when the key is withdrawn",
            f -> f.hosts.get(0).receivesWatch = false,
            f -> {
              f.hosts.get(0).disconnectedFromStore = true;
              f.disconnectFromPeers(f.hosts.get(0));
            },
            4),
        new Case(
            "host connected only to a lagging peer that is connected to the others",
            f -> {
              f.hosts.get(0).disconnectedFromStore = true;
              f.hosts.get(1).receivesWatch = false;
              f.hosts.subList(2, HOSTS).forEach(h -> f.disconnect(f.hosts.get(0), h));
            },
            nothing,
            5),
        new Case(
            "one direction of a link is down",
            f -> {
              f.hosts.get(0).disconnectedFromStore = true;
              f.hosts.forEach(h -> f.blockedLinks.add(h.id + " h0"));
            },
            nothing,
            4));
  }

  private static Stream<Case> faultsOfSeveral() {
    Consumer<SimulatedFleet> nothing = f -> {};
    return Stream.of(
        new Case(
            "minority without the store, majority with it",
            f -> {
              f.hosts.subList(0, 2).forEach(h -> h.disconnectedFromStore = true);
              f.hosts
                  .subList(0, 2)
                  .forEach(a -> f.hosts.subList(2, 5).forEach(b -> f.disconnect(a, b)));
            },
            nothing,
            3),
        new Case(
            "messages lost and duplicated",
            f -> {
              f.lossProbability = 0.3;
              f.duplicationProbability = 0.3;
              f.hosts.get(0).receivesWatch = false;
            },
            nothing,
            5),
        new Case(
            "all watches silent", f -> f.hosts.forEach(h -> h.receivesWatch = false), nothing, 5));
  }

  @ParameterizedTest
  @MethodSource("cases")
  void everyHostRejectsAWithdrawnKey(Case c) {
    SimulatedFleet fleet = new SimulatedFleet(HOSTS, 7, "kept", "withdrawn");
    fleet.run(START_UP);
    assertThat(fleet.hosts).allMatch(h -> h.acceptsKey("withdrawn"));
    c.before().accept(fleet);
    fleet.run(Duration.ofSeconds(20));
    AtomicInteger openSessions = new AtomicInteger(HOSTS);
    KeyHash key = KeyHash.ofKey("withdrawn");
    fleet.hosts.forEach(h -> h.keys.open(key, openSessions::decrementAndGet));
    fleet.storeConfiguration("kept");
    c.after().accept(fleet);
    fleet.run(REJECTED_WITHIN);
    assertThat(fleet.hosts).noneMatch(h -> h.acceptsKey("withdrawn"));
    assertThat(openSessions).hasValue(0);
    fleet.run(Duration.ofSeconds(55));
    assertThat(fleet.hosts).noneMatch(h -> h.acceptsKey("withdrawn"));
    assertThat(fleet.hosts.stream().filter(h -> h.acceptsKey("kept")))
        .hasSize(c.hostsAcceptingKeptKey());
  }

  @Test
  void keysRemainValidDuringALongStoreOutageOnHostsConnectedToAMajority() {
    SimulatedFleet fleet = new SimulatedFleet(HOSTS, 7, "kept");
    fleet.run(START_UP);
    fleet.storeUp = false;
    fleet.disconnectFromPeers(fleet.hosts.get(0));
    fleet.run(Duration.ofSeconds(10));
    for (int i = 0; i < 300; i++) {
      fleet.run(Duration.ofSeconds(2));
      assertThat(fleet.hosts.subList(1, HOSTS)).allMatch(h -> h.acceptsKey("kept"));
      assertThat(fleet.hosts.get(0).acceptsKey("kept")).isFalse();
    }
  }

  @Test
  void pausedHostRejectsKeysFromItsFirstStepAfterThePause() {
    SimulatedFleet fleet = new SimulatedFleet(HOSTS, 7, "kept", "withdrawn");
    fleet.run(START_UP);
    SimulatedFleet.Host host = fleet.hosts.get(0);
    AtomicInteger endedSessions = new AtomicInteger();
    host.keys.open(KeyHash.ofKey("withdrawn"), endedSessions::incrementAndGet);
    host.pause();
    fleet.storeConfiguration("kept");
    fleet.run(Duration.ofMinutes(1));
    assertThat(host.acceptsKey("withdrawn")).isFalse();
    assertThat(host.acceptsKey("kept")).isFalse();
    host.resume();
    assertThat(endedSessions).hasValue(1);
    fleet.run(Duration.ofSeconds(2));
    assertThat(host.acceptsKey("kept")).isTrue();
    assertThat(host.acceptsKey("withdrawn")).isFalse();
  }

  @Test
  void isolatedMajorityMissesAWithdrawalUntilALinkIsRestored() {
    SimulatedFleet fleet = new SimulatedFleet(HOSTS, 7, "kept", "withdrawn");
    fleet.run(START_UP);
    List<SimulatedFleet.Host> majority = fleet.hosts.subList(0, 3);
    majority.forEach(h -> h.disconnectedFromStore = true);
    majority.forEach(a -> fleet.hosts.subList(3, 5).forEach(b -> fleet.disconnect(a, b)));
    fleet.run(Duration.ofSeconds(20));
    fleet.storeConfiguration("kept");
    fleet.run(REJECTED_WITHIN);
    assertThat(majority).allMatch(h -> h.acceptsKey("withdrawn"));
    fleet.blockedLinks.remove("h0 h4");
    fleet.blockedLinks.remove("h4 h0");
    fleet.run(REJECTED_WITHIN);
    assertThat(fleet.hosts).noneMatch(h -> h.acceptsKey("withdrawn"));
  }
}
