package org.waxwingcourse.fleet.coordinate;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.engine.SoftwareId;
import org.waxwingcourse.fleet.slot.RunEnd;
import org.waxwingcourse.fleet.stream.StreamKey;
import org.waxwingcourse.fleet.stream.StreamNeeds;
import org.waxwingcourse.fleet.stream.StreamOrigins;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.store.Entry;

/**
 * A stream that its caller takes up at any host goes on at an engine of the software that began it,
 * whichever hosts are gone by then. Engines state no version here, so each is like no other.
 */
class StreamTakeUpTest extends SimulatedFleet {
  private static final StreamKey STREAM = StreamKey.of("parish", "r-1");
  private static final UpstreamId FIRST = UpstreamId.of("engine-1");
  private static final UpstreamId SECOND = UpstreamId.of("engine-2");
  private static final Duration TAKE_OVER = Duration.ofSeconds(1);

  @Override
  List<Entry> listedEngines() {
    return List.of(
        FleetFixtures.engineEntry(FIRST.value(), 1, 8, false, 1, 1),
        FleetFixtures.engineEntry(SECOND.value(), 2, 8, false, 1, 1));
  }

  private SoftwareId softwareOf(UpstreamId engine) {
    return members.get(0).engines.findEngine(engine).get().software();
  }

  /** Begins the stream at a host as its engine sends the first event. */
  private UpstreamId begin(Member host) {
    long run = host.requestSlot(new StreamNeeds(Option.some(STREAM), false, Option.none()));
    deliver();
    UpstreamId engine = grants.get(run);
    host.streams.record(STREAM, softwareOf(engine), clock.instant());
    return engine;
  }

  private long takeUp(Member host, Option<StreamKey> key) {
    refusals.clear();
    long run = host.requestSlot(new StreamNeeds(key, true, Option.none()));
    deliver();
    return run;
  }

  /** Fills the engine that began the stream, so that the other one is the cheaper. */
  private void occupy(UpstreamId engine) {
    for (int i = 0; i < 6; i++) {
      long run = members.get(4).requestSlot();
      deliver();
      if (!grants.get(run).equals(engine)) {
        members.get(4).slots.endRun(run, RunEnd.of(RunEnd.How.NOT_SENT));
        deliver();
      }
    }
  }

  @Test
  void streamGoesOnWhereItBegan() {
    UpstreamId engine = begin(members.get(3));
    occupy(engine);
    for (int i = 0; i < 4; i++) {
      assertThat(grants).containsEntry(takeUp(members.get(2), Option.some(STREAM)), engine);
    }
  }

  @Test
  void streamGoesOnWhenItsHostIsGone() {
    UpstreamId engine = begin(members.get(3));
    silent.add(members.get(3).id);
    run(TAKE_OVER);
    occupy(engine);
    assertThat(grants).containsEntry(takeUp(members.get(2), Option.some(STREAM)), engine);
  }

  @Test
  void streamGoesOnWhenItsHostAndTheCoordinatorAreGone() {
    UpstreamId engine = begin(members.get(3));
    run(TICK.multipliedBy(4));
    silent.add(members.get(3).id);
    silent.add(members.get(0).id);
    run(TAKE_OVER);
    occupy(engine);
    assertThat(grants).containsEntry(takeUp(members.get(2), Option.some(STREAM)), engine);
  }

  @Test
  void streamOfACoordinatorThatServesCallersGoesOn() {
    UpstreamId engine = begin(members.get(0));
    run(TICK.multipliedBy(4));
    silent.add(members.get(0).id);
    run(TAKE_OVER);
    occupy(engine);
    assertThat(grants).containsEntry(takeUp(members.get(2), Option.some(STREAM)), engine);
  }

  @Test
  void streamThatNobodyKnowsIsRefusedAtOnce() {
    begin(members.get(3));
    takeUp(members.get(2), Option.some(StreamKey.of("other", "r-1")));
    assertThat(refusals).containsExactly("the request that began its stream is not known here");
    takeUp(members.get(2), Option.none());
    assertThat(refusals).containsExactly("the request that began its stream is not named");
  }

  @Test
  void streamOfLongAgoIsRefused() {
    begin(members.get(3));
    run(StreamOrigins.RETENTION.plusSeconds(1));
    takeUp(members.get(2), Option.some(STREAM));
    assertThat(refusals).hasSize(1);
  }
}
