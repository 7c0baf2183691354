package org.waxwingcourse.fleet.coordinate;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.stream.StreamKey;
import org.waxwingcourse.fleet.stream.StreamNeeds;
import org.waxwingcourse.fleet.stream.StreamOrigins;
import org.waxwingcourse.store.Entry;

/**
 * All hosts that serve callers are lost at once, while a host that serves none lives on and becomes
 * the coordinator. Engines state no version here, so each is like no other.
 */
class StreamAfterHerdKillTest extends SimulatedFleet {
  private static final StreamKey STREAM = StreamKey.of("parish", "r-1");
  private static final String OLD = "engine-1";
  private static final String NEW = "engine-2";
  private static final Duration TAKE_OVER = Duration.ofSeconds(2);
  private static final Duration HISTORY = StreamOrigins.RETENTION.plusSeconds(2);

  private List<Entry> listed = List.of(engine(OLD, 1));

  private static Entry engine(String id, int port) {
    return FleetFixtures.engineEntry(id, port, 8, false, 1, 1);
  }

  @Override
  List<Entry> listedEngines() {
    return listed;
  }

  private void loseAllBut(Member worker) {
    members.stream().filter(m -> m != worker).forEach(m -> silent.add(m.id));
    run(TAKE_OVER);
  }

  private long takeUp(Member host, Option<StreamKey> key) {
    refusals.clear();
    long run = host.requestSlot(new StreamNeeds(key, true, Option.none()));
    deliver();
    return run;
  }

  /**
   * The lost coordinator had granted an engine of a version that the new one has not seen yet; the
   * stream went on at the only version that it had seen.
   */
  @Test
  void streamDoesNotGoOnAtTheOnlyVersionOfAnOutdatedList() {
    run(HISTORY);
    listed = List.of(engine(NEW, 2));
    list(members.get(0), 10);
    Member front = members.get(3);
    long begun = front.requestSlot(new StreamNeeds(Option.some(STREAM), false, Option.none()));
    deliver();
    assertThat(grants.get(begun).value()).isEqualTo(NEW);

    Member worker = members.get(4);
    loseAllBut(worker);
    assertThat(grants).doesNotContainKey(takeUp(worker, Option.some(STREAM)));
    assertThat(refusals).hasSize(1);
    assertThat(grants).doesNotContainKey(takeUp(worker, Option.none()));
    assertThat(refusals).hasSize(1);
  }
}
