package org.waxwingcourse.policy.trust;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.Revision;

/**
 * Checks that versions reach every host and never revert, and that a roster is replaced only with
 * the promise of a majority of it.
 */
class AgreementTest {
  private static final Duration START_UP = Duration.ofSeconds(30);
  private static final Duration PROPAGATION_TIME = Duration.ofSeconds(7);

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void changesApplyInTimeAndNeverRevertDespiteMessageLossAndSilentWatches(long seed) {
    SimulatedFleet fleet = new SimulatedFleet(9, seed, "k0");
    fleet.run(START_UP);
    Random random = new Random(seed);
    fleet.lossProbability = 0.2;
    fleet.duplicationProbability = 0.2;
    for (int change = 1; change <= 40; change++) {
      fleet.hosts.forEach(h -> h.receivesWatch = random.nextInt(3) > 0);
      fleet.hosts.forEach(h -> h.disconnectedFromStore = random.nextInt(3) == 0);
      fleet.storeConfiguration("k" + change);
      fleet.run(PROPAGATION_TIME);
      String key = "k" + change;
      assertThat(fleet.hosts).allMatch(h -> h.acceptsKey(key));
    }
    assertThat(fleet.hosts).allSatisfy(h -> assertThat(h.revisions).isSorted());
  }

  @Test
  void hostThatStartsDuringAStoreOutageReceivesTheConfigurationFromItsPeers() {
    SimulatedFleet fleet = new SimulatedFleet(5, 3, "old");
    fleet.run(START_UP);
    fleet.storeConfiguration("new");
    fleet.run(PROPAGATION_TIME);
    fleet.storeUp = false;
    SimulatedFleet.Host restarted = fleet.restart(fleet.hosts.get(2));
    fleet.run(PROPAGATION_TIME);
    assertThat(restarted.acceptsKey("new")).isTrue();
    assertThat(restarted.acceptsKey("old")).isFalse();
    assertThat(restarted.revisions).hasSize(1);
  }

  @Test
  void hostPausedForAMinuteCatchesUpAndIgnoresDelayedWatchEvents() {
    SimulatedFleet fleet = new SimulatedFleet(5, 3, "k0");
    fleet.run(START_UP);
    SimulatedFleet.Host host = fleet.hosts.get(1);
    host.pause();
    for (int i = 1; i <= 6; i++) {
      fleet.storeConfiguration("k" + i);
      fleet.run(Duration.ofSeconds(10));
    }
    host.resume();
    fleet.run(Duration.ofSeconds(2));
    assertThat(host.acceptsKey("k6")).isTrue();
    assertThat(host.revisions).isSorted();
  }

  @Test
  void undecodableVersionLeavesThePreviousOneInForceButEvidenceExpires() {
    SimulatedFleet fleet = new SimulatedFleet(3, 3, "k0");
    fleet.run(START_UP);
    fleet.storeConfiguration("");
    fleet.run(Duration.ofSeconds(5));
    assertThat(fleet.hosts).noneMatch(h -> h.acceptsKey("k0"));
    assertThat(fleet.hosts).allMatch(h -> h.configurationFollower.fault().isPresent());
    assertThat(fleet.hosts).allMatch(h -> h.agreement.status().missing().isPresent());
    fleet.storeConfiguration("k0");
    fleet.run(Duration.ofSeconds(5));
    assertThat(fleet.hosts).allMatch(h -> h.acceptsKey("k0"));
  }

  @Test
  void rosterListsEveryHostAndRemovesADeadOne() {
    SimulatedFleet fleet = new SimulatedFleet(5, 3, "k0");
    fleet.run(START_UP);
    assertThat(listedHosts(fleet.hosts.get(0))).containsExactly("h0", "h1", "h2", "h3", "h4");
    fleet.hosts.get(4).stopped = true;
    fleet.hosts.forEach(h -> h.deadHosts.add(HostId.of("h4")));
    fleet.run(Duration.ofSeconds(15));
    assertThat(fleet.hosts.subList(0, 4))
        .allSatisfy(h -> assertThat(listedHosts(h)).containsExactly("h0", "h1", "h2", "h3"));
  }

  @Test
  void minorityWithStoreAccessCannotReplaceTheRosterOfTheMajority() {
    SimulatedFleet fleet = new SimulatedFleet(5, 3, "k0");
    fleet.run(START_UP);
    List<SimulatedFleet.Host> minority = fleet.hosts.subList(0, 2);
    List<SimulatedFleet.Host> majority = fleet.hosts.subList(2, 5);
    majority.forEach(h -> h.disconnectedFromStore = true);
    minority.forEach(a -> majority.forEach(b -> fleet.disconnect(a, b)));
    minority.forEach(a -> majority.forEach(b -> a.deadHosts.add(b.id)));
    Revision before = minority.get(0).rosterFollower.revision();
    fleet.run(Duration.ofMinutes(2));
    assertThat(minority).allMatch(h -> h.rosterFollower.revision().equals(before));
    assertThat(majority).allMatch(h -> h.evidence.isCurrent());
  }

  @Test
  void noHostActsOnAReplacedRosterAfterTheSettleTime() {
    SimulatedFleet fleet = new SimulatedFleet(5, 3, "k0");
    fleet.run(START_UP);
    List<SimulatedFleet.Host> removedHosts = fleet.hosts.subList(3, 5);
    removedHosts.forEach(h -> h.disconnectedFromStore = true);
    removedHosts.forEach(a -> fleet.hosts.subList(0, 3).forEach(b -> fleet.disconnect(a, b)));
    fleet.hosts.subList(0, 3).forEach(a -> removedHosts.forEach(b -> a.deadHosts.add(b.id)));
    Revision before = fleet.hosts.get(0).rosterFollower.revision();
    while (fleet.hosts.get(0).rosterFollower.revision().equals(before)) {
      fleet.run(Duration.ofMillis(100));
    }
    fleet.run(Evidence.SETTLE_TIME);
    assertThat(removedHosts).noneMatch(h -> h.evidence.isCurrent());
  }

  @Test
  void hostThatPromisedDoesNotExtendTheOldRosterAgain() {
    SimulatedFleet fleet = new SimulatedFleet(3, 3, "k0");
    fleet.run(START_UP);
    SimulatedFleet.Host proposer = fleet.hosts.get(0);
    SimulatedFleet.Host promised = fleet.hosts.get(1);
    SimulatedFleet.Host removed = fleet.hosts.get(2);
    fleet.disconnect(proposer, removed);
    removed.disconnectedFromStore = true;
    promised.receivesWatch = false;
    proposer.deadHosts.add(removed.id);
    int writes = fleet.storeCalls.get("write");
    while (fleet.storeCalls.get("write") == writes) {
      fleet.run(Duration.ofMillis(1));
    }
    promised.disconnectedFromStore = true;
    fleet.disconnect(proposer, promised);
    fleet.run(Evidence.SETTLE_TIME);
    assertThat(proposer.rosterFollower.value().orElseThrow().lists(removed.id, 1)).isFalse();
    assertThat(List.of(promised, removed)).noneMatch(h -> h.evidence.isCurrent());
  }

  private static List<String> listedHosts(SimulatedFleet.Host host) {
    return host.rosterFollower.value().orElse(Roster.EMPTY).holders().stream()
        .map(h -> h.host().value())
        .toList();
  }
}
