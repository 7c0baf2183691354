package org.waxwingcourse.fleet.coordinate;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.slot.RunEnd;
import org.waxwingcourse.store.Entry;

/**
 * An engine got its full share only at the end of the run that tried it, which may take seconds.
 */
class RefusingEngineGrantTest extends SimulatedFleet {
  @Override
  List<Entry> listedEngines() {
    return List.of(FleetFixtures.engineEntry("engine-1", 1, 2, false, 1, 1));
  }

  @Test
  void engineGetsItsFullShareWithTheFirstDataOfItsProbe() {
    Member host = members.get(3);
    long refused = host.requestSlot();
    deliver();
    host.slots.endRun(refused, RunEnd.of(RunEnd.How.CONNECTION_REFUSED));
    deliver();
    assertThat(members.get(0).slots()).as("capacity").isZero();
    run(Duration.ofMillis(400));
    long probe = host.requestSlot();
    deliver();
    assertThat(grants).containsKey(probe);
    host.slots.reportAnswer(probe);
    deliver();
    assertThat(members.get(0).slots()).as("capacity").isEqualTo(2);
  }
}
