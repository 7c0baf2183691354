package org.waxwingcourse.fleet.slot;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.RequestRate;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.UpstreamId;

/** Waiting times and refusals of requests that only engines with a limit could serve. */
class LimitedEngineCapacityTest {
  private static final int SLOTS = 8;
  private static final EngineEntry FREE = SlotSimulation.engine("engine-0", SLOTS, false);
  private static final EngineEntry LIMITED =
      SlotSimulation.engine("engine-1", SLOTS, false).withLimit(RequestRate.of(2));

  private final SlotScheduler scheduler = new SlotScheduler();
  private Instant now = Instant.ofEpochSecond(1000);
  private long lastNumber;

  private void setEngines(EngineEntry... engines) {
    scheduler.setEngines(List.of(engines), SLOTS, now);
  }

  private RunId nextId() {
    return new RunId(HostId.of("host"), ++lastNumber);
  }

  private List<SlotDecision> submit() {
    return scheduler.submit(SlotSimulation.onlineRequest(nextId(), Set.of(), now), now);
  }

  private UpstreamId submitAndGetEngine() {
    return ((SlotDecision.Grant) submit().get(0)).engine();
  }

  @Test
  void requestIsRefusedAtOnceWithTheTimeAtWhichTheLimitHasRoom() {
    setEngines(LIMITED);
    List<SlotDecision> decisions = submit();
    assertThat(decisions).hasSize(1);
    SlotDecision.Refuse refusal = (SlotDecision.Refuse) decisions.get(0);
    assertThat(Duration.between(now, refusal.retryAt()))
        .isCloseTo(Duration.ofMillis(500), Duration.ofMillis(1));
    assertThat(refusal.reason()).contains("1 of 1 engines take 2.0 requests/s");
    now = refusal.retryAt().plusMillis(1);
    assertThat(submitAndGetEngine()).isEqualTo(LIMITED.id());
  }

  @Test
  void requestThatTheLimitHasRoomForInTimeWaits() {
    setEngines(LIMITED);
    now = now.plusMillis(400);
    assertThat(submit()).isEmpty();
    now = now.plusMillis(101);
    assertThat(scheduler.processQueues(now))
        .hasSize(1)
        .first()
        .isInstanceOf(SlotDecision.Grant.class);
  }

  @Test
  void enginesWithoutALimitAreUsedInFullBeforeAnyoneIsRefused() {
    setEngines(FREE, LIMITED);
    for (int i = 0; i < SLOTS; i++) {
      assertThat(submitAndGetEngine()).isEqualTo(FREE.id());
    }
    assertThat(submit()).first().isInstanceOf(SlotDecision.Refuse.class);
    now = now.plusMillis(501);
    assertThat(submitAndGetEngine()).isEqualTo(LIMITED.id());
  }

  @Test
  void nextBootOfAnEngineHasNoLimit() {
    setEngines(LIMITED);
    EngineEntry next =
        new EngineEntry(
            LIMITED.id(),
            LIMITED.service(),
            LIMITED.address(),
            LIMITED.dataCentre(),
            SLOTS,
            false,
            LIMITED.startedAtMillis() + 1);
    setEngines(next);
    for (int i = 0; i < SLOTS; i++) {
      assertThat(submitAndGetEngine()).isEqualTo(LIMITED.id());
    }
  }
}
