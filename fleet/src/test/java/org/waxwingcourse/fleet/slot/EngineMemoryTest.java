package org.waxwingcourse.fleet.slot;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.estimate.RequestSize;
import org.waxwingcourse.fleet.plan.HomeRegions;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;

/** Guards against requests that together exceed the memory of an engine, which then crashes. */
class EngineMemoryTest {
  private static final int ENGINES = 3;
  private static final int SLOTS = 8;
  private static final int MEMORY = 72_000;
  private static final int STEPS = 2000;

  private final SlotScheduler scheduler = new SlotScheduler();
  private final Map<RunId, UpstreamId> engineByRun = new HashMap<>();
  private final Map<RunId, SlotRequest> running = new HashMap<>();
  private Instant now = Instant.ofEpochSecond(1000);
  private long lastNumber;

  private void listEngines(int count) {
    List<EngineEntry> entries = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      entries.add(SlotSimulation.engine("engine-" + i, SLOTS, false));
    }
    scheduler.setEngineMemory(MEMORY);
    scheduler.setEngines(entries, SLOTS, now);
  }

  private SlotRequest request(WorkClass workClass, RequestSize size) {
    RunId id = new RunId(HostId.of("host"), ++lastNumber);
    boolean batch = workClass == WorkClass.BATCH;
    Deadline dueAt = Deadline.at(now.plusSeconds(batch ? 18 : 2));
    return new SlotRequest(
        id,
        RequestId.of("r" + lastNumber),
        SlotSimulation.SERVICE,
        workClass,
        0,
        Option.none(),
        Option.none(),
        now,
        dueAt,
        dueAt,
        List.of(),
        DataCentreId.of("a"),
        Set.of(),
        Set.of(),
        Option.when(batch, () -> new BatchWork(dueAt, 0)),
        Option.none(),
        Option.none(),
        Option.none(),
        HomeRegions.ANY,
        size);
  }

  private List<SlotDecision> submit(WorkClass workClass, RequestSize size) {
    List<SlotDecision> decisions = scheduler.submit(request(workClass, size), now);
    decisions.forEach(this::apply);
    return decisions;
  }

  private void apply(SlotDecision decision) {
    if (decision instanceof SlotDecision.Grant grant) {
      engineByRun.put(grant.request().id(), grant.engine());
      running.put(grant.request().id(), grant.request());
      assertThat(heldBy(grant.engine())).as("tokens held").isLessThanOrEqualTo(MEMORY);
    } else if (decision instanceof SlotDecision.Yield yield) {
      // The engine holds the run until it learns of the cancellation; this comes after the grant.
      RunId run = yield.run();
      ending.add(run);
    }
  }

  private final List<RunId> ending = new ArrayList<>();

  private int heldBy(UpstreamId engine) {
    return engineByRun.entrySet().stream()
        .filter(e -> e.getValue().equals(engine))
        .mapToInt(e -> running.get(e.getKey()).size().memoryTokens())
        .sum();
  }

  private void remove(RunId id) {
    engineByRun.remove(id);
    running.remove(id);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void statedTokensOfTheRunsOfAnEngineNeverExceedItsMemory(long seed) {
    listEngines(ENGINES);
    Random random = new Random(seed);
    int grants = 0;
    for (int step = 0; step < STEPS; step++) {
      now = now.plusMillis(20);
      ending.forEach(this::remove);
      ending.clear();
      RequestSize size = new RequestSize(random.nextInt(20_000), random.nextInt(8000), 0);
      grants += submit(random.nextInt(3) == 0 ? WorkClass.ONLINE : WorkClass.BATCH, size).size();
      if (random.nextInt(2) == 0 && !running.isEmpty()) {
        RunId ended = List.copyOf(running.keySet()).get(random.nextInt(running.size()));
        remove(ended);
        scheduler.endRun(ended, RunEnd.of(RunEnd.How.WHOLE), now).forEach(this::apply);
      }
    }
    assertThat(grants).as("grants").isGreaterThan(ENGINES * SLOTS);
  }

  @Test
  void requestThatNoEngineCanHoldIsRefusedAtOnceAndHoldsUpNoOther() {
    listEngines(1);
    assertThat(submit(WorkClass.BATCH, new RequestSize(MEMORY, 1, 0)))
        .singleElement()
        .isInstanceOf(SlotDecision.Refuse.class);
    assertThat(submit(WorkClass.BATCH, new RequestSize(40_000, 1000, 0))).hasSize(1);
    assertThat(submit(WorkClass.BATCH, new RequestSize(60_000, 1000, 0))).isEmpty();
    now = now.plus(Duration.ofMillis(200));
    assertThat(submit(WorkClass.BATCH, new RequestSize(2000, 1000, 0)))
        .as("smaller item beside one that has to wait")
        .hasSize(1);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 2000})
  void onlineRequestStillPreemptsABatchRunOnAFullEngine(int promptTokens) {
    listEngines(1);
    RequestSize size = new RequestSize(promptTokens, 0, 0);
    for (int i = 0; i < SLOTS; i++) {
      assertThat(submit(WorkClass.BATCH, size)).hasSize(1);
    }
    assertThat(submit(WorkClass.ONLINE, size))
        .hasSize(2)
        .first()
        .isInstanceOf(SlotDecision.Yield.class);
  }

  /** More large items than may be overtaken kept smaller ones from slots and memory left free. */
  @Test
  @Tag("known-red")
  void itemStartsBesideAnyNumberOfLargerOnesThatHaveToWait() {
    listEngines(1);
    assertThat(submit(WorkClass.BATCH, new RequestSize(14_000, 0, 0))).hasSize(1);
    for (int i = 0; i < 9; i++) {
      assertThat(submit(WorkClass.BATCH, new RequestSize(60_000, 0, 0))).isEmpty();
    }
    assertThat(submit(WorkClass.BATCH, new RequestSize(3000, 0, 0))).isEmpty();
    List<SlotDecision> started = new ArrayList<>();
    for (Instant end = now.plusSeconds(10); now.isBefore(end); ) {
      now = now.plusMillis(20);
      started.addAll(scheduler.processQueues(now));
    }
    assertThat(started).as("starts within 10 s").isNotEmpty();
  }
}
