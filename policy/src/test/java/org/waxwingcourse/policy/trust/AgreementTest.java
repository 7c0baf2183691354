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

/** Versions reach every host and never go back; rosters change only by a majority. */
class AgreementTest {
  private static final Duration START = Duration.ofSeconds(30);
  private static final Duration IN_FORCE = Duration.ofSeconds(7);

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void changesAreInForceInTimeAndNeverRevertUnderLossAndSilentWatches(long seed) {
    TrustFleet fleet = new TrustFleet(9, seed, "k0");
    fleet.run(START);
    Random random = new Random(seed);
    fleet.loss = 0.2;
    fleet.doubling = 0.2;
    for (int change = 1; change <= 40; change++) {
      fleet.hosts.forEach(h -> h.watchWorks = random.nextInt(3) > 0);
      fleet.hosts.forEach(h -> h.cutFromStore = random.nextInt(3) == 0);
      fleet.store("k" + change);
      fleet.run(IN_FORCE);
      String key = "k" + change;
      assertThat(fleet.hosts).allMatch(h -> h.works(key));
    }
    assertThat(fleet.hosts).allSatisfy(h -> assertThat(h.revisions).isSorted());
  }

  @Test
  void hostThatStartsInAnOutageTakesTheConfigurationFromItsPeers() {
    TrustFleet fleet = new TrustFleet(5, 3, "old");
    fleet.run(START);
    fleet.store("new");
    fleet.run(IN_FORCE);
    fleet.storeUp = false;
    TrustFleet.Host restarted = fleet.restart(fleet.hosts.get(2));
    fleet.run(IN_FORCE);
    assertThat(restarted.works("new")).isTrue();
    assertThat(restarted.works("old")).isFalse();
    assertThat(restarted.revisions).hasSize(1);
  }

  @Test
  void hostPausedForAMinuteCatchesUpAndIgnoresItsLateWatch() {
    TrustFleet fleet = new TrustFleet(5, 3, "k0");
    fleet.run(START);
    TrustFleet.Host host = fleet.hosts.get(1);
    host.pause();
    for (int i = 1; i <= 6; i++) {
      fleet.store("k" + i);
      fleet.run(Duration.ofSeconds(10));
    }
    host.resume();
    fleet.run(Duration.ofSeconds(2));
    assertThat(host.works("k6")).isTrue();
    assertThat(host.revisions).isSorted();
  }

  @Test
  void unreadableVersionKeepsTheLastOneInForceButLetsTrustLapse() {
    TrustFleet fleet = new TrustFleet(3, 3, "k0");
    fleet.run(START);
    fleet.store("");
    fleet.run(Duration.ofSeconds(5));
    assertThat(fleet.hosts).noneMatch(h -> h.works("k0"));
    assertThat(fleet.hosts).allMatch(h -> h.follower.fault().isPresent());
    assertThat(fleet.hosts).allMatch(h -> h.agreement.status().missing().isPresent());
    fleet.store("k0");
    fleet.run(Duration.ofSeconds(5));
    assertThat(fleet.hosts).allMatch(h -> h.works("k0"));
  }

  @Test
  void rosterListsEveryHostAndDropsADeadOne() {
    TrustFleet fleet = new TrustFleet(5, 3, "k0");
    fleet.run(START);
    assertThat(listed(fleet.hosts.get(0))).containsExactly("h0", "h1", "h2", "h3", "h4");
    fleet.hosts.get(4).stopped = true;
    fleet.hosts.forEach(h -> h.dead.add(HostId.of("h4")));
    fleet.run(Duration.ofSeconds(15));
    assertThat(fleet.hosts.subList(0, 4))
        .allSatisfy(h -> assertThat(listed(h)).containsExactly("h0", "h1", "h2", "h3"));
  }

  @Test
  void minorityWithTheStoreCannotReplaceTheRosterThatTheMajorityRestsOn() {
    TrustFleet fleet = new TrustFleet(5, 3, "k0");
    fleet.run(START);
    List<TrustFleet.Host> minority = fleet.hosts.subList(0, 2);
    List<TrustFleet.Host> majority = fleet.hosts.subList(2, 5);
    majority.forEach(h -> h.cutFromStore = true);
    minority.forEach(a -> majority.forEach(b -> fleet.cut(a, b)));
    minority.forEach(a -> majority.forEach(b -> a.dead.add(b.id)));
    Revision before = minority.get(0).rosterFollower.revision();
    fleet.run(Duration.ofMinutes(2));
    assertThat(minority).allMatch(h -> h.rosterFollower.revision().equals(before));
    assertThat(majority).allMatch(h -> h.evidence.isCurrent());
  }

  @Test
  void nobodyTrustsAReplacedRosterOnceItsRightsHaveSettled() {
    TrustFleet fleet = new TrustFleet(5, 3, "k0");
    fleet.run(START);
    List<TrustFleet.Host> old = fleet.hosts.subList(3, 5);
    old.forEach(h -> h.cutFromStore = true);
    old.forEach(a -> fleet.hosts.subList(0, 3).forEach(b -> fleet.cut(a, b)));
    fleet.hosts.subList(0, 3).forEach(a -> old.forEach(b -> a.dead.add(b.id)));
    Revision before = fleet.hosts.get(0).rosterFollower.revision();
    while (fleet.hosts.get(0).rosterFollower.revision().equals(before)) {
      fleet.run(Duration.ofMillis(100));
    }
    fleet.run(Evidence.SETTLE_TIME);
    assertThat(old).noneMatch(h -> h.evidence.isCurrent());
  }

  @Test
  void hostThatPromisedDoesNotVoteForTheOldRosterAgain() {
    TrustFleet fleet = new TrustFleet(3, 3, "k0");
    fleet.run(START);
    TrustFleet.Host proposer = fleet.hosts.get(0);
    TrustFleet.Host promised = fleet.hosts.get(1);
    TrustFleet.Host removed = fleet.hosts.get(2);
    fleet.cut(proposer, removed);
    removed.cutFromStore = true;
    promised.watchWorks = false;
    proposer.dead.add(removed.id);
    int writes = fleet.storeCalls.get("write");
    while (fleet.storeCalls.get("write") == writes) {
      fleet.run(Duration.ofMillis(1));
    }
    promised.cutFromStore = true;
    fleet.cut(proposer, promised);
    fleet.run(Evidence.SETTLE_TIME);
    assertThat(proposer.rosterFollower.value().orElseThrow().lists(removed.id, 1)).isFalse();
    assertThat(List.of(promised, removed)).noneMatch(h -> h.evidence.isCurrent());
  }

  private static List<String> listed(TrustFleet.Host host) {
    return host.rosterFollower.value().orElse(Roster.EMPTY).holders().stream()
        .map(h -> h.host().value())
        .toList();
  }
}
