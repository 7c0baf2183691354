package org.waxwingcourse.fleet.coordinate;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.slot.SlotLoad;
import org.waxwingcourse.store.Entry;

/**
 * A host that had coordinated itself kept its own runs and waiting requests for good. They filled
 * its share of the slots when other hosts attached to it.
 */
class FormerCoordinatorTest extends SimulatedFleet {
  private static final int SLOTS = 2;

  @Override
  List<Entry> listedEngines() {
    return List.of(FleetFixtures.engineEntry("engine-1", 1, SLOTS, false, 1, 1));
  }

  @Test
  void hostThatAttachesElsewhereLeavesNothingBehind() {
    Member host = members.get(1);
    cutOff.add(host.id);
    run(Duration.ofSeconds(4));
    long granted = host.requestSlot();
    long waiting = host.requestSlot();
    deliver();
    assertThat(grants).containsKey(granted).doesNotContainKey(waiting);
    SlotLoad alone = host.coordinator.load(SERVICE);
    assertThat(alone.online() + alone.onlineWaiting()).isEqualTo(2);
    cutOff.clear();
    run(Duration.ofSeconds(4));
    assertThat(host.slots.coordinator()).containsExactly(members.get(0).id);
    assertThat(host.coordinator.load(SERVICE)).isEqualTo(new SlotLoad(SLOTS, 0, 0, 0, 0));
    assertThat(members.get(0).coordinator.load(SERVICE).online())
        .as("runs at the new coordinator")
        .isEqualTo(2);
  }
}
