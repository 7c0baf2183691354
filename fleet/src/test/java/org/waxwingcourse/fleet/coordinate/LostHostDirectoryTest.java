package org.waxwingcourse.fleet.coordinate;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.view.FleetHost;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.Snapshot;

/** Callers were sent to hosts that had been lost long before. */
class LostHostDirectoryTest extends SimulatedFleet {
  /** Longest time for which a lost host may be named. */
  private static final Duration BOUND = Duration.ofSeconds(7);

  /** The hosts have started longer ago than a coordinator tells of them for that reason. */
  private static final Duration SETTLED = Duration.ofSeconds(5);

  @Override
  List<Entry> listedEngines() {
    return List.of();
  }

  private static List<HostId> named(Member member) {
    return member.link.callerHosts().stream().map(FleetHost::id).sorted().toList();
  }

  private List<HostId> allBut(Member lost) {
    return members.stream().filter(m -> m != lost).map(m -> m.id).toList();
  }

  @Test
  void hostThatIsCutOffNamesItselfOnly() {
    Member asked = members.get(4);
    run(SETTLED);
    cutOff.add(asked.id);
    withoutStore.add(asked.id);
    silent.add(members.get(3).id);
    run(BOUND);
    assertThat(named(asked)).containsExactly(asked.id);
  }

  /** Nobody hears that the lease of the lost host has ended. */
  @Test
  void whileTheStoreIsDownHostsThatAreLostAreNotNamed() {
    Member lost = members.get(3);
    run(SETTLED);
    members.forEach(m -> withoutStore.add(m.id));
    run(Duration.ofSeconds(2));
    silent.add(lost.id);
    run(BOUND);
    for (Member asked : members) {
      if (asked != lost) {
        assertThat(named(asked)).as("by " + asked.id).isEqualTo(allBut(lost));
      }
    }
  }

  /** Entries that are gone are kept for a while after the store is back. */
  @Test
  void whileTheStoreRecoversHostsThatAreLostAreNotNamed() {
    Member lost = members.get(3);
    run(SETTLED);
    members.forEach(m -> withoutStore.add(m.id));
    silent.add(lost.id);
    run(BOUND);
    withoutStore.clear();
    run(Duration.ofSeconds(1));
    assertThat(named(members.get(0))).isEqualTo(allBut(lost));
    assertThat(named(members.get(4))).isEqualTo(allBut(lost));
  }

  @Test
  void hostThatIsBackNamesAllAgain() {
    Member asked = members.get(4);
    run(SETTLED);
    cutOff.add(asked.id);
    withoutStore.add(asked.id);
    run(BOUND);
    cutOff.clear();
    withoutStore.clear();
    run(Duration.ofSeconds(2));
    assertThat(named(asked)).hasSize(members.size());
  }

  /** A host that takes no callers has nobody else to name. */
  @Test
  void whereNoRunningHostCanBeNamedAllListedOnesAre() {
    Member asked = members.get(4);
    run(SETTLED);
    List<Entry> others =
        asked.storeView.hostTable().entries().stream()
            .filter(e -> !e.key().contains(asked.id.value()))
            .toList();
    asked.storeView.hostTable().replaceFromRead(new Snapshot(Revision.of(99), others));
    cutOff.add(asked.id);
    withoutStore.add(asked.id);
    run(BOUND);
    assertThat(named(asked)).hasSize(members.size() - 1);
  }

  @Test
  void whileNothingIsLostAllAreNamedAndPongsStayAsTheyWere() {
    run(SETTLED);
    for (int i = 0; i < 100; i++) {
      run(Duration.ofMillis(100));
      assertThat(members).allMatch(m -> named(m).size() == members.size());
    }
    members.get(4).link.reportStatements();
    while (!network.isEmpty()) {
      Message message = network.poll();
      assertThat(message.content().getPong().getAttachedCount()).isZero();
      members.stream()
          .filter(m -> m.id.equals(message.to()))
          .forEach(m -> m.router.onMessage(message.from(), message.content().toByteArray()));
    }
  }
}
