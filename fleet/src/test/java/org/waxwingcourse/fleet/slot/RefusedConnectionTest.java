package org.waxwingcourse.fleet.slot;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.WorkClass;

/**
 * Engines that refuse connections. The reports of a host with few runs were taken for the reports
 * of a host that is cut off.
 */
class RefusedConnectionTest {
  private static final int SLOTS = 2;
  private static final HostId HOST = HostId.of("host");
  private static final Duration FIRST_INTERVAL = Duration.ofMillis(300);

  private final SlotSimulation requests = new SlotSimulation(0, SLOTS, 1);
  private final SlotScheduler scheduler = new SlotScheduler();
  private Instant now = requests.now;
  private long lastNumber;

  private void listEngines(int count) {
    List<EngineEntry> entries = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      entries.add(SlotSimulation.engine("engine-" + i, SLOTS, false));
    }
    scheduler.setEngines(entries, SLOTS, now);
  }

  private SlotDecision.Grant start() {
    now = now.plusMillis(1);
    RunId id = new RunId(HOST, --lastNumber);
    return (SlotDecision.Grant)
        scheduler.submit(SlotSimulation.onlineRequest(id, Set.of(), now), now).get(0);
  }

  private List<SlotDecision> end(SlotDecision.Grant grant, RunEnd.How how) {
    now = now.plusMillis(1);
    return scheduler.endRun(grant.request().id(), RunEnd.of(how), now);
  }

  private SlotDecision.Grant refuseOneOf(int engines) {
    listEngines(engines);
    SlotDecision.Grant grant = start();
    end(grant, RunEnd.How.CONNECTION_REFUSED);
    return grant;
  }

  private int usableSlots() {
    return scheduler.load(now).slots();
  }

  @Test
  void hostWithFewRunsIsBelievedAndItsLaterReportsOfSilenceRevokeNothing() {
    listEngines(9);
    List<SlotDecision.Grant> grants = List.of(start(), start(), start(), start(), start(), start());
    grants.subList(0, 3).forEach(g -> end(g, RunEnd.How.CONNECTION_REFUSED));
    assertThat(usableSlots()).isEqualTo(6 * SLOTS);
    grants.subList(3, 6).forEach(g -> end(g, RunEnd.How.ENGINE_LOST));
    assertThat(usableSlots()).as("slots of engines not called silent").isEqualTo(6 * SLOTS);
    assertThat(scheduler.countRefusing()).isEqualTo(3);
  }

  @Test
  void probeIsAnItemAndTheOnlyRunUntilItIsAnswered() {
    UpstreamId engine = refuseOneOf(1).engine();
    requests.now = now;
    SlotRequest item = requests.request(WorkClass.BATCH, Duration.ofSeconds(18));
    scheduler.submit(item, now);
    scheduler.submit(requests.request(WorkClass.BATCH, Duration.ofSeconds(18)), now);
    now = now.plus(FIRST_INTERVAL);
    assertThat(scheduler.processQueues(now))
        .containsExactly(new SlotDecision.Grant(item, engine, true));
    now = now.plusMillis(60);
    assertThat(scheduler.processQueues(now)).isEmpty();
    scheduler.recordAnswer(item.id(), engine);
    assertThat(scheduler.processQueues(now))
        .singleElement()
        .isInstanceOfSatisfying(SlotDecision.Grant.class, g -> assertThat(g.probe()).isFalse());
  }

  @Test
  void engineOfAServiceWithoutItemsIsProbedByAnOnlineRequest() {
    refuseOneOf(1);
    now = now.plus(FIRST_INTERVAL);
    assertThat(start().probe()).isTrue();
  }

  @Test
  void intervalGrowsWithProbesButNotWithOlderRunsThatMeetTheSameLoss() {
    listEngines(1);
    SlotDecision.Grant first = start();
    SlotDecision.Grant second = start();
    end(first, RunEnd.How.CONNECTION_REFUSED);
    now = now.plusMillis(200);
    end(second, RunEnd.How.CONNECTION_REFUSED);
    now = now.plusMillis(100);
    assertThat(start().probe()).isTrue();
  }

  @Test
  void answerOfARunFromBeforeTheRefusalEndsNothing() {
    listEngines(1);
    SlotDecision.Grant first = start();
    SlotDecision.Grant second = start();
    end(first, RunEnd.How.CONNECTION_REFUSED);
    end(second, RunEnd.How.WHOLE);
    assertThat(scheduler.countRefusing()).isEqualTo(1);
  }

  @Test
  void refusedRequestIsToldOfTheSlotsOfUsableEnginesOnly() {
    SlotDecision.Grant lost = refuseOneOf(2);
    for (int i = 0; i < SLOTS; i++) {
      assertThat(start().engine()).isNotEqualTo(lost.engine());
    }
    now = now.plusMillis(1);
    RunId id = new RunId(HOST, --lastNumber);
    assertThat(scheduler.submit(SlotSimulation.onlineRequest(id, Set.of(), now), now))
        .singleElement()
        .isInstanceOfSatisfying(
            SlotDecision.Refuse.class, r -> assertThat(r.reason()).contains("for 2 slots"));
  }
}
