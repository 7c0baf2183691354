package org.waxwingcourse.fleet.coordinate;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.engine.EngineBoot;
import org.waxwingcourse.fleet.slot.RunEnd;
import org.waxwingcourse.model.id.RequestFingerprint;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.store.Entry;

/**
 * Engines end under one request while coordinators change: the count must not begin anew with each
 * coordinator.
 */
class CrashCountTakeOverTest extends SimulatedFleet {
  private static final RequestFingerprint REQUEST = new RequestFingerprint(1, 2, 3);
  private static final String REASON = "engines crash on this request";
  private static final Duration EJECTION = Duration.ofMillis(700);
  private static final Duration TAKE_OVER = Duration.ofSeconds(1);

  @Override
  List<Entry> listedEngines() {
    return List.of(
        FleetFixtures.engineEntry("engine-1", 1, 8, false, 1, 1),
        FleetFixtures.engineEntry("engine-2", 2, 8, false, 1, 1));
  }

  /** Runs the request on an engine, which ends, and waits until engines are used again. */
  private void runAndCrash(Member host, long engineStart) {
    long run = host.requestSlot(Option.some(REQUEST));
    deliver();
    assertThat(grants).containsKey(run);
    recordCrash(host, run, engineStart);
    run(EJECTION);
  }

  /** Does what a host does whose engine has closed the connection of a run. */
  private void recordCrash(Member host, long run, long engineStart) {
    EngineBoot engine = new EngineBoot(UpstreamId.of("engine-1"), engineStart);
    host.coordinator.crashingRequests().recordCrash(REQUEST, engine, clock.instant());
    host.slots.endRun(run, RunEnd.of(RunEnd.How.ENGINE_BROKE_OFF), engine);
    deliver();
  }

  private boolean isRefused(Member host) {
    refusals.clear();
    host.requestSlot(Option.some(REQUEST));
    deliver();
    return refusals.contains(REASON);
  }

  @Test
  void crashesThatThreeHostsSawUnderOneCoordinatorCount() {
    runAndCrash(members.get(2), 1);
    runAndCrash(members.get(3), 2);
    assertThat(isRefused(members.get(4))).isFalse();
    runAndCrash(members.get(4), 3);
    assertThat(isRefused(members.get(1))).isTrue();
    run(TAKE_OVER);
    long other = members.get(1).requestSlot();
    deliver();
    assertThat(grants).containsKey(other);
  }

  @Test
  void countOutlivesTheCoordinator() {
    runAndCrash(members.get(3), 1);
    runAndCrash(members.get(3), 2);
    run(TICK.multipliedBy(3));
    silent.add(members.get(0).id);
    run(TAKE_OVER);
    runAndCrash(members.get(4), 3);
    assertThat(isRefused(members.get(2))).isTrue();
  }

  @Test
  void crashIsCountedThoughTheCoordinatorIsLostBeforeItHearsOfIt() {
    runAndCrash(members.get(3), 1);
    runAndCrash(members.get(3), 2);
    run(TICK.multipliedBy(3));
    long last = members.get(4).requestSlot(Option.some(REQUEST));
    deliver();
    silent.add(members.get(0).id);
    recordCrash(members.get(4), last, 3);
    run(TAKE_OVER);
    assertThat(isRefused(members.get(2))).isTrue();
  }

  @Test
  void waitingRequestIsRefusedAsTheVerdictArrives() {
    for (int i = 0; i < 16; i++) {
      members.get(2).requestSlot();
    }
    deliver();
    long waiting = members.get(3).requestSlot(Option.some(REQUEST));
    deliver();
    assertThat(grants).doesNotContainKey(waiting);
    for (int boot = 1; boot <= 3; boot++) {
      members
          .get(4)
          .coordinator
          .crashingRequests()
          .recordCrash(REQUEST, new EngineBoot(UpstreamId.of("engine-1"), boot), clock.instant());
    }
    run(TICK.multipliedBy(3));
    assertThat(refusals).containsExactly(REASON);
  }
}
