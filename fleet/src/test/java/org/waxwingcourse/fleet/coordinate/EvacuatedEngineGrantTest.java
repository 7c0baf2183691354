package org.waxwingcourse.fleet.coordinate;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.slot.RunEnd;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.Snapshot;

/** Engines of an evacuated data centre got requests, as nothing followed operators' orders. */
class EvacuatedEngineGrantTest extends SimulatedFleet {
  private static final String NORTH = "north";
  private static final UpstreamId EVACUATED = UpstreamId.of("engine-1");
  private static final UpstreamId OTHER = UpstreamId.of("engine-2");

  /** What a read of the store may take of the second within which an order is to be in force. */
  private static final Duration READ_DELAY = Duration.ofMillis(700);

  private static final Duration TARGET = Duration.ofSeconds(1);

  @Override
  List<Entry> listedEngines() {
    return List.of(
        FleetFixtures.engineEntry(EVACUATED.value(), DataCentreId.of(NORTH), Duration.ZERO, 1, 1),
        FleetFixtures.engineEntry(OTHER.value(), DataCentreId.of("south"), Duration.ZERO, 1, 1));
  }

  private static void read(Member member, long revision, Entry... orders) {
    member.conditions.onRead(new Snapshot(Revision.of(revision), List.of(orders)));
  }

  private static boolean holdsEvacuated(Member member) {
    return member.engines.findEngine(EVACUATED).exists(EngineEntry::leaving);
  }

  @Test
  void orderIsInForceEverywhereWithinASecond() {
    read(members.get(0), 20, FleetFixtures.evacuationOrder(NORTH, 19));
    assertThat(members.get(0).slots()).as("at the coordinator, at once").isEqualTo(8);
    run(TARGET.minus(READ_DELAY));
    assertThat(members).allMatch(EvacuatedEngineGrantTest::holdsEvacuated);
    for (int i = 0; i < 12; i++) {
      members.get(i % members.size()).requestSlot();
    }
    deliver();
    assertThat(grants).hasSize(8);
    assertThat(grants.values()).containsOnly(OTHER);
  }

  @Test
  void runInProgressKeepsItsSlotAndTheNextOneIsGrantedElsewhere() {
    Member host = members.get(3);
    for (int i = 0; i < 16; i++) {
      host.requestSlot();
    }
    deliver();
    long there =
        grants.entrySet().stream()
            .filter(e -> e.getValue().equals(EVACUATED))
            .findFirst()
            .get()
            .getKey();
    read(members.get(0), 20, FleetFixtures.evacuationOrder(NORTH, 19));
    run(TARGET);
    final long waiting = host.requestSlot();
    host.slots.endRun(there, RunEnd.of(RunEnd.How.WHOLE));
    deliver();
    assertThat(grants).doesNotContainKey(waiting);
    long elsewhere =
        grants.entrySet().stream()
            .filter(e -> e.getValue().equals(OTHER))
            .findFirst()
            .get()
            .getKey();
    host.slots.endRun(elsewhere, RunEnd.of(RunEnd.How.WHOLE));
    deliver();
    assertThat(grants).containsEntry(waiting, OTHER);
  }

  /** The successor has not read the store; it has the orders from a pong. */
  @Test
  void nextCoordinatorHoldsTheOrderThatTheLostOneHadRead() {
    read(members.get(0), 20, FleetFixtures.evacuationOrder(NORTH, 19));
    run(TICK.multipliedBy(2));
    silent.add(members.get(0).id);
    Member host = members.get(4);
    for (int i = 0; i < 9; i++) {
      host.requestSlot();
    }
    run(Duration.ofSeconds(2));
    assertThat(host.slots.coordinator()).contains(members.get(1).id);
    assertThat(grants.values()).isNotEmpty().containsOnly(OTHER);
  }

  /**
   * The successor has never heard of the order: only the hosts hold it until it reads the store.
   */
  @Test
  void hostHoldsTheOrderWhileItsCoordinatorDoesNotKnowIt() {
    Member host = members.get(4);
    read(host, 20, FleetFixtures.evacuationOrder(NORTH, 19));
    run(TICK.multipliedBy(3));
    assertThat(holdsEvacuated(members.get(0))).isFalse();
    assertThat(holdsEvacuated(host)).isTrue();
    assertThat(host.engines.findUsable(EVACUATED, SERVICE)).isEmpty();
  }

  @Test
  void revocationReachesAllHosts() {
    read(members.get(0), 20, FleetFixtures.evacuationOrder(NORTH, 19));
    run(TARGET);
    read(members.get(0), 30);
    run(TARGET.minus(READ_DELAY));
    assertThat(members).noneMatch(EvacuatedEngineGrantTest::holdsEvacuated);
    assertThat(members.get(0).slots()).isEqualTo(16);
  }

  /** An order came and went between two reads of the coordinator, whose table did not change. */
  @Test
  void hostThatAloneHasSeenAnOrderLearnsThatItIsGone() {
    read(members.get(0), 18);
    read(members.get(4), 20, FleetFixtures.evacuationOrder(NORTH, 19));
    read(members.get(0), 30);
    run(TICK.multipliedBy(3));
    assertThat(holdsEvacuated(members.get(4))).isFalse();
  }

  /** Of two orders that overlap one is revoked between two reads of the coordinator. */
  @Test
  void hostThatHasSeenAnotherOrderLearnsThatOnlyTheFirstIsLeft() {
    Entry south = FleetFixtures.evacuationOrder("south", 17);
    read(members.get(0), 18, south);
    read(members.get(4), 20, south, FleetFixtures.evacuationOrder(NORTH, 19));
    read(members.get(0), 30, south);
    run(TICK.multipliedBy(3));
    Member host = members.get(4);
    assertThat(holdsEvacuated(host)).isFalse();
    assertThat(host.engines.findEngine(OTHER).exists(EngineEntry::leaving)).isTrue();
  }

  @Test
  void ordersWithoutEnginesOrThatCannotBeReadHaveNoEffect() {
    read(
        members.get(0),
        20,
        FleetFixtures.evacuationOrder("nowhere", 19),
        FleetFixtures.evacuationOrder("", 19));
    run(TARGET);
    assertThat(members.get(0).slots()).isEqualTo(16);
    assertThat(members.get(4).conditions.evacuated()).containsExactly(DataCentreId.of("nowhere"));
  }

  /** Hosts of deployments without orders read the store too; their messages stay as they were. */
  @Test
  void nothingIsSaidOfOrdersWhereThereAreNone() {
    members.forEach(m -> read(m, 20));
    members.get(4).link.updateAttachment();
    while (!network.isEmpty()) {
      Message message = network.poll();
      assertThat(message.content().getPing().getEvacuationsDigest()).isZero();
      assertThat(message.content().getPong().hasEvacuations()).isFalse();
      members.stream()
          .filter(m -> m.id.equals(message.to()))
          .forEach(m -> m.router.onMessage(message.from(), message.content().toByteArray()));
    }
  }
}
