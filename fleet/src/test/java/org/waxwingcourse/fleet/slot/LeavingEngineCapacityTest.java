package org.waxwingcourse.fleet.slot;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.model.id.HostId;

/**
 * Runs that end on engines that are leaving were counted as slots that become free: requests waited
 * for them, and were refused although slots of other engines were free.
 */
class LeavingEngineCapacityTest {
  private static final int SLOTS = 2;
  private static final EngineEntry READY = SlotSimulation.engine("engine-0", SLOTS, false);
  private static final EngineEntry LEAVING = SlotSimulation.engine("engine-0", SLOTS, true);
  private static final EngineEntry OTHER = SlotSimulation.engine("engine-1", SLOTS, false);

  /** The mean time of runs that a scheduler assumes before the first has ended. */
  private static final Duration RUN_TIME = Duration.ofMillis(700);

  private final SlotScheduler scheduler = new SlotScheduler();
  private Instant now = Instant.ofEpochSecond(1000);
  private long lastNumber;

  private void setEngines(EngineEntry... engines) {
    scheduler.setEngines(List.of(engines), SLOTS, now);
  }

  private List<SlotDecision> submit() {
    RunId id = new RunId(HostId.of("host"), ++lastNumber);
    return scheduler.submit(SlotSimulation.onlineRequest(id, Set.of(), now), now);
  }

  private void fill() {
    for (int i = 0; i < SLOTS; i++) {
      assertThat(submit()).hasSize(1).first().isInstanceOf(SlotDecision.Grant.class);
    }
  }

  @Test
  void requestThatOnlySlotsOfALeavingEngineCouldServeInTimeIsRefused() {
    setEngines(READY);
    fill();
    now = now.plus(RUN_TIME).minus(SlotSimulation.OBJECTIVE_WAIT.dividedBy(2));
    setEngines(READY, OTHER);
    fill();
    Instant otherEnds = now.plus(RUN_TIME);
    setEngines(LEAVING, OTHER);
    assertThat(submit())
        .singleElement()
        .isInstanceOfSatisfying(
            SlotDecision.Refuse.class, r -> assertThat(r.retryAt()).isEqualTo(otherEnds));
  }

  @Test
  void runsOnALeavingEngineTakeNothingFromTheShareOfACoordinator() {
    setEngines(READY);
    fill();
    setEngines(LEAVING, OTHER);
    scheduler.setFleetShare(1.0 / SLOTS, now);
    assertThat(submit()).hasSize(1).first().isInstanceOf(SlotDecision.Grant.class);
  }

  @Test
  void loadIsThatOfTheRemainingEngines() {
    setEngines(READY);
    fill();
    setEngines(LEAVING, OTHER);
    submit();
    assertThat(scheduler.load(now)).isEqualTo(new SlotLoad(SLOTS, 1, 0, 0, 0));
  }
}
