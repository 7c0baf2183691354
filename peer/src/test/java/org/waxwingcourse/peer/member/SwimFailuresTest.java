package org.waxwingcourse.peer.member;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.member.Member;
import org.waxwingcourse.model.member.MemberState;

/** Tests the membership protocol under failures of hosts and of the network, with fixed seeds. */
class SwimFailuresTest {
  private static final HostId FIRST = HostId.of("host-0");
  private static final HostId SECOND = HostId.of("host-1");
  private static final Duration LIMIT = Duration.ofMinutes(3);

  @ParameterizedTest
  @ValueSource(ints = {3, 9, 90})
  void crashedHostIsDeadOnAllHostsWithinSecondsWhileItIsStillASeed(int size) {
    SimulatedFleet fleet = SimulatedFleet.converged(size, 1);
    fleet.terminate(FIRST);
    Duration elapsed = fleet.runUntil(LIMIT, () -> fleet.allSee(FIRST, MemberState.DEAD));
    assertThat(elapsed).isLessThan(Duration.ofSeconds(size < 10 ? 7 : 12));
    fleet.runFor(Duration.ofMinutes(10));
    assertThat(fleet.allSee(FIRST, MemberState.DEAD)).isTrue();
    assertThat(fleet.allSee(MemberState.ALIVE, size - 1)).isTrue();
  }

  @Test
  void pausedHostSuspectsNoOtherHostAndRefutesWithAHigherIncarnation() {
    SimulatedFleet fleet = SimulatedFleet.converged(9, 2);
    long before = fleet.hosts.get(FIRST).self().incarnation();
    fleet.pause(FIRST);
    fleet.runUntil(LIMIT, () -> othersSee(fleet, FIRST, MemberState.DEAD));
    fleet.runFor(Duration.ofMinutes(1));
    fleet.resume(FIRST);
    Set<HostId> falselySuspected = new HashSet<>();
    fleet
        .hosts
        .values()
        .forEach(
            s ->
                s.onChange(
                    list -> list.forEach(m -> recordIfFalselySuspected(m, falselySuspected))));
    Duration elapsed = fleet.runUntil(LIMIT, () -> fleet.allSee(MemberState.ALIVE, 9));
    assertThat(elapsed).isLessThan(Duration.ofSeconds(30));
    assertThat(fleet.hosts.get(FIRST).self().incarnation()).isGreaterThan(before);
    assertThat(falselySuspected).isEmpty();
  }

  private static void recordIfFalselySuspected(Member member, Set<HostId> falselySuspected) {
    if (member.state() == MemberState.SUSPECT && !member.id().equals(FIRST)) {
      falselySuspected.add(member.id());
    }
  }

  private static boolean othersSee(SimulatedFleet fleet, HostId host, MemberState state) {
    return fleet.hosts.entrySet().stream()
        .filter(e -> !e.getKey().equals(host))
        .allMatch(e -> SimulatedFleet.stateOf(e.getValue(), host) == state);
  }

  @Test
  void restartedHostReplacesItsPreviousIncarnation() {
    SimulatedFleet fleet = SimulatedFleet.converged(9, 3);
    long before = fleet.hosts.get(FIRST).self().incarnation();
    fleet.terminate(FIRST);
    fleet.runFor(Duration.ofMillis(500));
    fleet.start(FIRST);
    Duration elapsed = fleet.runUntil(LIMIT, () -> allSeeIncarnationAbove(fleet, before));
    assertThat(elapsed).isLessThan(Duration.ofSeconds(5));
    assertThat(fleet.allSee(MemberState.ALIVE, 9)).isTrue();
  }

  private static boolean allSeeIncarnationAbove(SimulatedFleet fleet, long before) {
    return fleet.hosts.values().stream()
        .allMatch(s -> s.find(FIRST).filter(m -> m.incarnation() > before).isPresent());
  }

  @Test
  void leavingStateReachesAllHostsBeforeItCountsAsAnnounced() {
    SimulatedFleet fleet = SimulatedFleet.converged(9, 4);
    fleet.lossProbability = 0.3;
    fleet.hosts.get(FIRST).leave();
    fleet.runUntil(LIMIT, () -> fleet.hosts.get(FIRST).leaveKnown());
    assertThat(fleet.allSee(FIRST, MemberState.LEAVING)).isTrue();
    fleet.lossProbability = 0;
    fleet.hosts.get(FIRST).left();
    fleet.runFor(Duration.ofSeconds(5));
    fleet.terminate(FIRST);
    assertThat(fleet.allSee(FIRST, MemberState.DEAD)).isTrue();
  }

  @Test
  void hostThatCrashesWhileLeavingIsDeadWithinSeconds() {
    SimulatedFleet fleet = SimulatedFleet.converged(9, 5);
    fleet.hosts.get(FIRST).leave();
    fleet.runFor(Duration.ofSeconds(2));
    fleet.terminate(FIRST);
    Duration elapsed = fleet.runUntil(LIMIT, () -> fleet.allSee(FIRST, MemberState.DEAD));
    assertThat(elapsed).isLessThan(Duration.ofSeconds(20));
  }

  @Test
  void suspicionThatExpiresDuringAPauseDeclaresNoHostDead() {
    SimulatedFleet fleet = SimulatedFleet.converged(9, 10);
    fleet.blocked = (from, to) -> from.equals(FIRST) || to.equals(FIRST);
    fleet.runFor(Duration.ofMillis(3500));
    fleet.pause(FIRST);
    fleet.blocked = (from, to) -> false;
    Set<HostId> declaredDead = new HashSet<>();
    fleet.hosts.get(FIRST).onChange(list -> collectMissing(fleet, list, declaredDead));
    assertThat(fleet.hosts.get(FIRST).members()).anyMatch(m -> m.state() == MemberState.SUSPECT);
    fleet.runFor(Duration.ofMinutes(1));
    fleet.resume(FIRST);
    fleet.runUntil(LIMIT, () -> fleet.allSee(MemberState.ALIVE, 9));
    assertThat(declaredDead).isEmpty();
  }

  @Test
  void deathRumoursFromTheOtherSideOfAPartitionDeclareNoHostDead() {
    SimulatedFleet fleet = SimulatedFleet.converged(9, 11);
    Set<HostId> smallerSide = new HashSet<>(fleet.hostIds.subList(0, 3));
    fleet.blocked = (from, to) -> smallerSide.contains(from) != smallerSide.contains(to);
    fleet.runFor(Duration.ofSeconds(7));
    Set<HostId> declaredDead = new HashSet<>();
    for (HostId h : fleet.hostIds) {
      fleet
          .hosts
          .get(h)
          .onChange(list -> collectMissingOnSameSide(fleet, list, declaredDead, h, smallerSide));
    }
    fleet.blocked = (from, to) -> false;
    Duration elapsed = fleet.runUntil(LIMIT, () -> fleet.allSee(MemberState.ALIVE, 9));
    assertThat(elapsed).isLessThan(Duration.ofSeconds(60));
    assertThat(declaredDead).isEmpty();
  }

  private static void collectMissingOnSameSide(
      SimulatedFleet fleet,
      List<Member> list,
      Set<HostId> declaredDead,
      HostId viewer,
      Set<HostId> smallerSide) {
    Set<HostId> missing = new HashSet<>();
    collectMissing(fleet, list, missing);
    missing.removeIf(h -> smallerSide.contains(h) != smallerSide.contains(viewer));
    declaredDead.addAll(missing);
  }

  @ParameterizedTest
  @ValueSource(ints = {9, 90})
  void partitionedSidesMergeAfterThePartitionHeals(int size) {
    SimulatedFleet fleet = SimulatedFleet.converged(size, 6);
    Set<HostId> smallerSide = new HashSet<>(fleet.hostIds.subList(0, size / 3));
    fleet.blocked = (from, to) -> smallerSide.contains(from) != smallerSide.contains(to);
    fleet.runFor(Duration.ofMinutes(3));
    for (HostId h : fleet.hostIds) {
      boolean onSmallerSide = smallerSide.contains(h);
      List<Member> seen = fleet.hosts.get(h).members();
      assertThat(seen).allMatch(m -> smallerSide.contains(m.id()) == onSmallerSide);
      assertThat(seen).hasSize(onSmallerSide ? size / 3 : size - size / 3);
    }
    fleet.blocked = (from, to) -> false;
    Duration elapsed = fleet.runUntil(LIMIT, () -> fleet.allSee(MemberState.ALIVE, size));
    assertThat(elapsed).isLessThan(Duration.ofSeconds(60));
  }

  @Test
  void hostUnreachableFromOneOtherHostIsNotSuspected() {
    SimulatedFleet fleet = SimulatedFleet.converged(9, 7);
    fleet.blocked = (from, to) -> Set.of(from, to).equals(Set.of(FIRST, SECOND));
    Set<MemberState> seen = new HashSet<>();
    fleet.hosts.values().forEach(s -> s.onChange(l -> l.forEach(m -> seen.add(m.state()))));
    fleet.runFor(Duration.ofMinutes(5));
    assertThat(seen).doesNotContain(MemberState.SUSPECT);
    assertThat(fleet.allSee(MemberState.ALIVE, 9)).isTrue();
  }

  private static void collectMissing(
      SimulatedFleet fleet, List<Member> list, Set<HostId> declaredDead) {
    Set<HostId> missing = new HashSet<>(fleet.hostIds);
    list.forEach(m -> missing.remove(m.id()));
    declaredDead.addAll(missing);
  }

  @Test
  void deadHostIsForgottenAlthoughAResumedHostStillSeesItAlive() {
    SimulatedFleet fleet = SimulatedFleet.converged(9, 8);
    fleet.pause(SECOND);
    fleet.terminate(FIRST);
    fleet.runFor(Duration.ofMinutes(2));
    fleet.resume(SECOND);
    fleet.runFor(Duration.ofSeconds(30));
    assertThat(fleet.allSee(FIRST, MemberState.DEAD)).isTrue();
    fleet.runFor(Duration.ofMinutes(65));
    assertThat(fleet.hosts.values()).allMatch(s -> s.find(FIRST).isEmpty());
    assertThat(fleet.allSee(MemberState.ALIVE, 8)).isTrue();
  }

  @Test
  void duplicatedAndDelayedMessagesDeclareNoHostDead() {
    SimulatedFleet fleet = SimulatedFleet.converged(9, 9);
    fleet.duplicationProbability = 0.5;
    fleet.maxDelayMillis = 250;
    Set<HostId> declaredDead = new HashSet<>();
    fleet
        .hosts
        .values()
        .forEach(s -> s.onChange(list -> collectMissing(fleet, list, declaredDead)));
    fleet.runFor(Duration.ofMinutes(5));
    assertThat(declaredDead).isEmpty();
  }
}
