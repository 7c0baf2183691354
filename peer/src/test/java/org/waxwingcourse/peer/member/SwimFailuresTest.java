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

/** Failures of hosts and links against the membership protocol, by fixed seeds. */
class SwimFailuresTest {
  private static final HostId FIRST = HostId.of("host-0");
  private static final HostId SECOND = HostId.of("host-1");
  private static final Duration LIMIT = Duration.ofMinutes(3);

  @ParameterizedTest
  @ValueSource(ints = {3, 9, 90})
  void lostHostIsDeadEverywhereWithinSecondsThoughTheListStillNamesIt(int size) {
    FakeFleet fleet = FakeFleet.converged(size, 1);
    fleet.kill(FIRST);
    Duration took = fleet.runUntil(LIMIT, () -> fleet.allSee(FIRST, MemberState.DEAD));
    assertThat(took).isLessThan(Duration.ofSeconds(size < 10 ? 7 : 12));
    fleet.run(Duration.ofMinutes(10));
    assertThat(fleet.allSee(FIRST, MemberState.DEAD)).isTrue();
    assertThat(fleet.allSee(MemberState.ALIVE, size - 1)).isTrue();
  }

  @Test
  void pausedHostAccusesNobodyAndRefutesWithAHigherIncarnation() {
    FakeFleet fleet = FakeFleet.converged(9, 2);
    long before = fleet.hosts.get(FIRST).self().incarnation();
    fleet.pause(FIRST);
    fleet.runUntil(LIMIT, () -> others(fleet, FIRST, MemberState.DEAD));
    fleet.run(Duration.ofMinutes(1));
    fleet.resume(FIRST);
    Set<HostId> wronged = new HashSet<>();
    fleet.hosts.values().forEach(s -> s.onChange(list -> list.forEach(m -> note(m, wronged))));
    Duration took = fleet.runUntil(LIMIT, () -> fleet.allSee(MemberState.ALIVE, 9));
    assertThat(took).isLessThan(Duration.ofSeconds(30));
    assertThat(fleet.hosts.get(FIRST).self().incarnation()).isGreaterThan(before);
    assertThat(wronged).isEmpty();
  }

  private static void note(Member member, Set<HostId> wronged) {
    if (member.state() == MemberState.SUSPECT && !member.id().equals(FIRST)) {
      wronged.add(member.id());
    }
  }

  private static boolean others(FakeFleet fleet, HostId host, MemberState state) {
    return fleet.hosts.entrySet().stream()
        .filter(e -> !e.getKey().equals(host))
        .allMatch(e -> FakeFleet.stateOf(e.getValue(), host) == state);
  }

  @Test
  void restartedHostOutbidsItsFormerLife() {
    FakeFleet fleet = FakeFleet.converged(9, 3);
    long before = fleet.hosts.get(FIRST).self().incarnation();
    fleet.kill(FIRST);
    fleet.run(Duration.ofMillis(500));
    fleet.start(FIRST);
    Duration took = fleet.runUntil(LIMIT, () -> allSeeIncarnationAbove(fleet, before));
    assertThat(took).isLessThan(Duration.ofSeconds(5));
    assertThat(fleet.allSee(MemberState.ALIVE, 9)).isTrue();
  }

  private static boolean allSeeIncarnationAbove(FakeFleet fleet, long before) {
    return fleet.hosts.values().stream()
        .allMatch(s -> s.find(FIRST).filter(m -> m.incarnation() > before).isPresent());
  }

  @Test
  void leavingIsKnownToAllBeforeItCountsAsAnnounced() {
    FakeFleet fleet = FakeFleet.converged(9, 4);
    fleet.loss = 0.3;
    fleet.hosts.get(FIRST).leave();
    fleet.runUntil(LIMIT, () -> fleet.hosts.get(FIRST).leaveKnown());
    assertThat(fleet.allSee(FIRST, MemberState.LEAVING)).isTrue();
    fleet.loss = 0;
    fleet.hosts.get(FIRST).left();
    fleet.run(Duration.ofSeconds(5));
    fleet.kill(FIRST);
    assertThat(fleet.allSee(FIRST, MemberState.DEAD)).isTrue();
  }

  @Test
  void hostThatDiesWhileLeavingIsDeadWithinSeconds() {
    FakeFleet fleet = FakeFleet.converged(9, 5);
    fleet.hosts.get(FIRST).leave();
    fleet.run(Duration.ofSeconds(2));
    fleet.kill(FIRST);
    Duration took = fleet.runUntil(LIMIT, () -> fleet.allSee(FIRST, MemberState.DEAD));
    assertThat(took).isLessThan(Duration.ofSeconds(20));
  }

  @Test
  void suspicionThatRanOutDuringAPauseKillsNobody() {
    FakeFleet fleet = FakeFleet.converged(9, 10);
    fleet.cut = (from, to) -> from.equals(FIRST) || to.equals(FIRST);
    fleet.run(Duration.ofMillis(3500));
    fleet.pause(FIRST);
    fleet.cut = (from, to) -> false;
    Set<HostId> died = new HashSet<>();
    fleet.hosts.get(FIRST).onChange(list -> missing(fleet, list, died));
    assertThat(fleet.hosts.get(FIRST).members()).anyMatch(m -> m.state() == MemberState.SUSPECT);
    fleet.run(Duration.ofMinutes(1));
    fleet.resume(FIRST);
    fleet.runUntil(LIMIT, () -> fleet.allSee(MemberState.ALIVE, 9));
    assertThat(died).isEmpty();
  }

  @Test
  void rumoursOfDeathFromTheOtherSideOfACutKillNobody() {
    FakeFleet fleet = FakeFleet.converged(9, 11);
    Set<HostId> side = new HashSet<>(fleet.names.subList(0, 3));
    fleet.cut = (from, to) -> side.contains(from) != side.contains(to);
    fleet.run(Duration.ofSeconds(7));
    Set<HostId> died = new HashSet<>();
    for (HostId h : fleet.names) {
      fleet.hosts.get(h).onChange(list -> missing(fleet, list, died, h, side));
    }
    fleet.cut = (from, to) -> false;
    Duration took = fleet.runUntil(LIMIT, () -> fleet.allSee(MemberState.ALIVE, 9));
    assertThat(took).isLessThan(Duration.ofSeconds(60));
    assertThat(died).isEmpty();
  }

  private static void missing(
      FakeFleet fleet, List<Member> list, Set<HostId> died, HostId viewer, Set<HostId> side) {
    Set<HostId> gone = new HashSet<>();
    missing(fleet, list, gone);
    gone.removeIf(h -> side.contains(h) != side.contains(viewer));
    died.addAll(gone);
  }

  @ParameterizedTest
  @ValueSource(ints = {9, 90})
  void sidesOfACutMeetAgain(int size) {
    FakeFleet fleet = FakeFleet.converged(size, 6);
    Set<HostId> side = new HashSet<>(fleet.names.subList(0, size / 3));
    fleet.cut = (from, to) -> side.contains(from) != side.contains(to);
    fleet.run(Duration.ofMinutes(3));
    for (HostId h : fleet.names) {
      boolean small = side.contains(h);
      List<Member> seen = fleet.hosts.get(h).members();
      assertThat(seen).allMatch(m -> side.contains(m.id()) == small);
      assertThat(seen).hasSize(small ? size / 3 : size - size / 3);
    }
    fleet.cut = (from, to) -> false;
    Duration took = fleet.runUntil(LIMIT, () -> fleet.allSee(MemberState.ALIVE, size));
    assertThat(took).isLessThan(Duration.ofSeconds(60));
  }

  @Test
  void hostThatIsCutFromOneOtherOnlyIsNotEvenSuspected() {
    FakeFleet fleet = FakeFleet.converged(9, 7);
    fleet.cut = (from, to) -> Set.of(from, to).equals(Set.of(FIRST, SECOND));
    Set<MemberState> seen = new HashSet<>();
    fleet.hosts.values().forEach(s -> s.onChange(l -> l.forEach(m -> seen.add(m.state()))));
    fleet.run(Duration.ofMinutes(5));
    assertThat(seen).doesNotContain(MemberState.SUSPECT);
    assertThat(fleet.allSee(MemberState.ALIVE, 9)).isTrue();
  }

  private static void missing(FakeFleet fleet, List<Member> list, Set<HostId> died) {
    Set<HostId> gone = new HashSet<>(fleet.names);
    list.forEach(m -> gone.remove(m.id()));
    died.addAll(gone);
  }

  @Test
  void deadHostIsForgottenAndALaggardCannotKeepItAlive() {
    FakeFleet fleet = FakeFleet.converged(9, 8);
    fleet.pause(SECOND);
    fleet.kill(FIRST);
    fleet.run(Duration.ofMinutes(2));
    fleet.resume(SECOND);
    fleet.run(Duration.ofSeconds(30));
    assertThat(fleet.allSee(FIRST, MemberState.DEAD)).isTrue();
    fleet.run(Duration.ofMinutes(65));
    assertThat(fleet.hosts.values()).allMatch(s -> s.find(FIRST).isEmpty());
    assertThat(fleet.allSee(MemberState.ALIVE, 8)).isTrue();
  }

  @Test
  void doubledAndLateMessagesChangeNothing() {
    FakeFleet fleet = FakeFleet.converged(9, 9);
    fleet.doubling = 0.5;
    fleet.maxDelayMillis = 250;
    Set<HostId> died = new HashSet<>();
    fleet.hosts.values().forEach(s -> s.onChange(list -> missing(fleet, list, died)));
    fleet.run(Duration.ofMinutes(5));
    assertThat(died).isEmpty();
  }
}
