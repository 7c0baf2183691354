package org.waxwingcourse.fleet.coordinate;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.slot.RunEnd;
import org.waxwingcourse.fleet.stream.StreamKey;
import org.waxwingcourse.fleet.stream.StreamNeeds;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.store.Entry;

/**
 * A host asks two coordinators for the same stream, as it does when it attaches elsewhere, and only
 * one of the grants is used.
 */
class LateGrantOfAStreamTest extends SimulatedFleet {
  private static final StreamKey STREAM = StreamKey.of("parish", "r-1");
  private static final UpstreamId BEGAN = UpstreamId.of("engine-1");
  private static final Duration PINGS = TICK.multipliedBy(4);

  @Override
  List<Entry> listedEngines() {
    return List.of(
        FleetFixtures.engineEntry(BEGAN.value(), 1, 8, false, 1, 1),
        FleetFixtures.engineEntry("engine-2", 2, 8, false, 1, 1));
  }

  /** Nobody has told yet what began the stream; an unused grant does not say it. */
  @Test
  void grantThatWasReturnedUnusedIsNotTakenForTheBeginning() {
    Member front = members.get(3);
    long unused = front.requestSlot(new StreamNeeds(Option.some(STREAM), false, Option.none()));
    deliver();
    front.slots.endRun(unused, RunEnd.of(RunEnd.How.NOT_SENT));
    deliver();
    long run =
        members.get(2).requestSlot(new StreamNeeds(Option.some(STREAM), true, Option.none()));
    deliver();
    assertThat(grants).doesNotContainKey(run);
    assertThat(refusals).hasSize(1);
  }

  /** The unused grant replaced what the host had told, and the stream went on at its version. */
  @Test
  void streamGoesOnWhereItBeganThoughAnUnusedGrantComesLater() {
    Member front = members.get(3);
    front.streams.record(STREAM, front.engines.findEngine(BEGAN).get().software(), clock.instant());
    run(PINGS);
    for (int i = 0; i < 2; i++) {
      front.requestSlot(new StreamNeeds(Option.some(STREAM), false, Option.none()));
      deliver();
    }
    long run =
        members.get(2).requestSlot(new StreamNeeds(Option.some(STREAM), true, Option.none()));
    deliver();
    assertThat(grants).containsEntry(run, BEGAN);
  }
}
