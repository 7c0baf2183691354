package org.waxwingcourse.fleet.slot;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.engine.EngineCondition;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.estimate.RequestSize;
import org.waxwingcourse.fleet.plan.HomeRegions;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;

/** Slots were granted in regions that the requests must not reach. */
class HomeRegionPlacementTest {
  private static final EngineEntry HOME = engine("engine-1", "home");
  private static final EngineEntry AWAY = engine("engine-2", "away");

  private final SlotScheduler scheduler = new SlotScheduler();
  private final Instant now = Instant.ofEpochSecond(1000);
  private long lastNumber;

  private static EngineEntry engine(String id, String region) {
    return SlotSimulation.engine(id, 1, false)
        .withCondition(EngineCondition.NORMAL.withRegion(Option.some(region)));
  }

  private List<SlotDecision> submit(WorkClass workClass, String... regions) {
    Option<BatchWork> work =
        Option.when(
            workClass == WorkClass.BATCH, () -> new BatchWork(Deadline.at(now.plusSeconds(18)), 0));
    SlotRequest request =
        new SlotRequest(
            new RunId(HostId.of("host"), ++lastNumber),
            RequestId.of("r"),
            ServiceName.of("s"),
            workClass,
            0,
            Option.none(),
            Option.none(),
            now,
            Deadline.at(now.plusSeconds(10)),
            Deadline.at(now.plusSeconds(20)),
            List.of(),
            DataCentreId.of("a"),
            Set.of(),
            Set.of(),
            work,
            Option.none(),
            Option.none(),
            Option.none(),
            HomeRegions.of(List.of(regions)),
            RequestSize.UNKNOWN);
    return scheduler.submit(request, now);
  }

  private static UpstreamId engineOf(List<SlotDecision> decisions) {
    assertThat(decisions).hasSize(1);
    return ((SlotDecision.Grant) decisions.get(0)).engine();
  }

  @Test
  void requestWaitsForAnEngineAtHomeAndHoldsUpNoOther() {
    scheduler.setEngines(List.of(HOME, AWAY), 1, now);
    assertThat(engineOf(submit(WorkClass.ONLINE, "home"))).isEqualTo(HOME.id());
    assertThat(submit(WorkClass.ONLINE, "home")).isEmpty();
    assertThat(engineOf(submit(WorkClass.ONLINE))).isEqualTo(AWAY.id());
    List<SlotDecision> next =
        scheduler.endRun(
            new RunId(HostId.of("host"), 1), RunEnd.of(RunEnd.How.WHOLE), now.plusMillis(10));
    assertThat(engineOf(next)).isEqualTo(HOME.id());
  }

  @Test
  void itemThatWaitsForAnEngineAtHomeHoldsUpNoOther() {
    scheduler.setEngines(List.of(HOME, AWAY), 1, now);
    assertThat(engineOf(submit(WorkClass.BATCH, "home"))).isEqualTo(HOME.id());
    assertThat(submit(WorkClass.BATCH, "home")).isEmpty();
    assertThat(engineOf(submit(WorkClass.BATCH))).isEqualTo(AWAY.id());
    List<SlotDecision> next =
        scheduler.endRun(
            new RunId(HostId.of("host"), 1), RunEnd.of(RunEnd.How.WHOLE), now.plusMillis(10));
    assertThat(engineOf(next)).isEqualTo(HOME.id());
  }

  @Test
  void requestWithoutAnEngineAtHomeIsRefusedAtOnce() {
    scheduler.setEngines(List.of(AWAY, HOME.asEvacuated()), 1, now);
    List<SlotDecision> decisions = submit(WorkClass.ONLINE, "home");
    assertThat(decisions).hasSize(1);
    SlotDecision.Refuse refusal = (SlotDecision.Refuse) decisions.get(0);
    assertThat(refusal.reason()).isEqualTo("no engine in a home region [home] is available");
    assertThat(Duration.between(now, refusal.retryAt())).isLessThan(Duration.ofSeconds(1));
  }
}
