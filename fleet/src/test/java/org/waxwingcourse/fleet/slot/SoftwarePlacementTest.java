package org.waxwingcourse.fleet.slot;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.SoftwareId;
import org.waxwingcourse.fleet.estimate.RequestSize;
import org.waxwingcourse.fleet.plan.HomeRegions;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;

/** Tests where streams and items go on that one version of the engines' software has begun. */
class SoftwarePlacementTest {
  private static final ServiceName SERVICE = ServiceName.of("s");
  private static final EngineEntry OLD = engine("old", "v1");
  private static final EngineEntry NEW = engine("new", "v2");

  private final SlotScheduler scheduler = new SlotScheduler();
  private Instant now = Instant.ofEpochSecond(1000);
  private long lastNumber;

  private static EngineEntry engine(String id, String version) {
    return new EngineEntry(
            UpstreamId.of(id),
            SERVICE,
            new InetSocketAddress("127.0.0.1", 1),
            DataCentreId.of("a"),
            2,
            false,
            1)
        .withVersion(Option.some(version));
  }

  @BeforeEach
  void listEngines() {
    scheduler.setEngines(List.of(OLD, NEW), 2, now);
  }

  private SlotRequest request(
      WorkClass workClass, Option<SoftwareId> software, Set<UpstreamId> avoided) {
    return new SlotRequest(
        new RunId(HostId.of("host"), ++lastNumber),
        RequestId.of("r" + lastNumber),
        SERVICE,
        workClass,
        0,
        Option.none(),
        Option.none(),
        now,
        Deadline.at(now.plus(Duration.ofSeconds(2))),
        Deadline.at(now.plus(Duration.ofSeconds(5))),
        List.of(),
        DataCentreId.of("a"),
        avoided,
        Set.of(),
        Option.when(
            workClass == WorkClass.BATCH,
            () -> new BatchWork(Deadline.at(now.plus(Duration.ofSeconds(18))), 0)),
        Option.none(),
        Option.none(),
        software,
        HomeRegions.ANY,
        RequestSize.UNKNOWN);
  }

  private List<SlotDecision> submitStream(EngineEntry begunBy) {
    return scheduler.submit(
        request(WorkClass.ONLINE, Option.some(begunBy.software()), Set.of()), now);
  }

  private List<SlotDecision> submitNew() {
    return scheduler.submit(request(WorkClass.ONLINE, Option.none(), Set.of()), now);
  }

  private List<SlotDecision> submitBatch() {
    return scheduler.submit(request(WorkClass.BATCH, Option.none(), Set.of()), now);
  }

  private static List<UpstreamId> engines(List<SlotDecision> decisions) {
    return decisions.stream().map(d -> ((SlotDecision.Grant) d).engine()).toList();
  }

  @Test
  void streamWaitsForItsVersionThoughAnotherIsFree() {
    assertThat(engines(submitStream(OLD))).containsExactly(OLD.id());
    assertThat(engines(submitStream(OLD))).containsExactly(OLD.id());
    assertThat(submitStream(OLD)).isEmpty();
    assertThat(scheduler.load(now).onlineWaiting()).isEqualTo(1);
  }

  @Test
  void streamThatWaitsForItsVersionHoldsUpNoOther() {
    submitStream(OLD);
    submitStream(OLD);
    SlotRequest waiting = request(WorkClass.ONLINE, Option.some(OLD.software()), Set.of());
    scheduler.submit(waiting, now);
    assertThat(engines(submitNew())).containsExactly(NEW.id());
    RunId first = new RunId(HostId.of("host"), 1);
    assertThat(engines(submitBatch())).as("items too").containsExactly(NEW.id());
    assertThat(scheduler.endRun(first, RunEnd.of(RunEnd.How.WHOLE), now))
        .containsExactly(new SlotDecision.Grant(waiting, OLD.id()));
  }

  @Test
  void streamOfAVersionThatIsGoneIsRefusedAtOnce() {
    scheduler.setEngines(List.of(NEW), 2, now);
    assertThat(submitStream(OLD)).hasSize(1).first().isInstanceOf(SlotDecision.Refuse.class);
  }

  @Test
  void streamIsRefusedAtOnceIfTheOnlyEngineOfItsVersionHasFailedIt() {
    SlotRequest request = request(WorkClass.ONLINE, Option.some(OLD.software()), Set.of(OLD.id()));
    assertThat(scheduler.submit(request, now))
        .hasSize(1)
        .first()
        .isInstanceOf(SlotDecision.Refuse.class);
  }

  @Test
  void streamDoesNotGoOnAtALeavingEngine() {
    scheduler.setEngines(List.of(OLD.asLeaving(), NEW), 2, now);
    assertThat(submitStream(OLD)).hasSize(1).first().isInstanceOf(SlotDecision.Refuse.class);
  }

  @Test
  void itemPrefersTheVersionThatBeganItAndTakesAnother() {
    List<UpstreamId> granted = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      Option<SoftwareId> software = Option.some(NEW.software());
      granted.addAll(engines(scheduler.submit(request(WorkClass.BATCH, software, Set.of()), now)));
    }
    assertThat(granted).startsWith(NEW.id(), NEW.id()).contains(OLD.id());
  }

  private void refuseConnection(EngineEntry engine) {
    RunId id = ((SlotDecision.Grant) submitStream(engine).get(0)).request().id();
    now = now.plusMillis(10);
    scheduler.endRun(id, RunEnd.of(RunEnd.How.CONNECTION_REFUSED), now);
  }

  private List<SlotDecision> submitBatchOf(EngineEntry begunBy) {
    return scheduler.submit(
        request(WorkClass.BATCH, Option.some(begunBy.software()), Set.of()), now);
  }

  /** Nothing probed engines of another version, and the item waited for as long as they refused. */
  @Test
  void itemProbesAnotherVersionIfAllEnginesHaveRefusedConnections() {
    scheduler.setEngines(List.of(NEW), 2, now);
    refuseConnection(NEW);
    assertThat(submitBatchOf(OLD)).isEmpty();
    now = now.plusSeconds(1);
    assertThat(scheduler.processQueues(now))
        .singleElement()
        .isInstanceOfSatisfying(SlotDecision.Grant.class, g -> assertThat(g.probe()).isTrue());
  }

  /** As a probe the item would lose its events, which another engine can go on from. */
  @Test
  void itemThatAnotherEngineCanRunIsNoProbeOfAnotherVersion() {
    refuseConnection(NEW);
    assertThat(engines(submitBatchOf(OLD))).containsExactly(OLD.id());
    assertThat(engines(submitBatchOf(OLD))).containsExactly(OLD.id());
    assertThat(submitBatchOf(OLD)).isEmpty();
    now = now.plusSeconds(1);
    assertThat(scheduler.processQueues(now)).isEmpty();
  }
}
