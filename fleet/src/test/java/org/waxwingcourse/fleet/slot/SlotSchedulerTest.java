package org.waxwingcourse.fleet.slot;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.WorkClass;

/** Tests the scheduling of slots under several load patterns. */
class SlotSchedulerTest {
  private static final int ENGINES = 6;
  private static final int SLOTS = 8;
  private static final double MEAN_RATE = 29;

  @ParameterizedTest
  @ValueSource(longs = {0, 1, 2, 3, 4})
  void onlineStartsInTimeUnderSwingingLoadWhileBatchUsesFreeSlots(long seed) {
    SlotSimulation s = new SlotSimulation(ENGINES, SLOTS, seed);
    s.submitBatch(200);
    for (int period = 0; period < 4; period++) {
      Duration start = Duration.ofMillis(6600L * period);
      s.addOnlineArrivals(start, start.plusMillis(3800), 0.377 * MEAN_RATE);
      s.addOnlineArrivals(start.plusMillis(3800), start.plusMillis(6600), 1.84 * MEAN_RATE);
    }
    s.run(Duration.ofSeconds(26));
    assertThat(s.refusals).hasSizeLessThanOrEqualTo(s.onlineWaitTimes.size() / 100);
    assertThat(s.onlineWaitTimes).allMatch(w -> w.compareTo(SlotSimulation.OBJECTIVE_WAIT) <= 0);
    assertThat(s.batchGrantCount).isGreaterThan(ENGINES * SLOTS);
    assertThat(s.maxRunsPerEngine).isLessThanOrEqualTo(SLOTS);
  }

  @ParameterizedTest
  @CsvSource({"6, 54, 0", "6, 54, 1", "62, 500, 0", "62, 500, 1"})
  void reserveReducesYieldsAndIncreasesBatchWork(int engines, double rate, long seed) {
    SlotSimulation withReserve = runSteadyLoad(new SlotSimulation(engines, SLOTS, seed), rate);
    SlotSimulation withoutReserve =
        runSteadyLoad(
            new SlotSimulation(engines, SLOTS, seed, FreeSlotReserve.createEmpty()), rate);
    System.out.printf(
        "%d engines: %d yields with reserve, %d without; batch work %d s and %d s%n",
        engines,
        withReserve.yieldCount,
        withoutReserve.yieldCount,
        withReserve.batchWork.toSeconds(),
        withoutReserve.batchWork.toSeconds());
    assertThat(withReserve.yieldCount).isLessThan(withoutReserve.yieldCount * 2 / 3);
    assertThat(withReserve.batchWork).isGreaterThan(withoutReserve.batchWork);
    assertThat(withReserve.refusals).hasSameSizeAs(withoutReserve.refusals);
  }

  private static SlotSimulation runSteadyLoad(SlotSimulation s, double rate) {
    Duration span = Duration.ofSeconds(20);
    s.addOnlineArrivals(Duration.ZERO, span, rate);
    s.submitBatch(2000);
    s.run(span);
    return s;
  }

  @Test
  void onlineRequestPreemptsBatchRunAtOnce() {
    SlotSimulation s = new SlotSimulation(1, 2, 0);
    s.submitBatch(4);
    assertThat(s.batchGrantCount).isEqualTo(2);
    s.submit(WorkClass.ONLINE, SlotSimulation.OBJECTIVE_WAIT);
    assertThat(s.onlineWaitTimes).containsExactly(Duration.ZERO);
    assertThat(s.yieldCount).isEqualTo(1);
  }

  @ParameterizedTest
  @ValueSource(longs = {0, 1, 2})
  void requestThatCannotStartInTimeIsRefusedOnArrival(long seed) {
    SlotSimulation s = new SlotSimulation(ENGINES, SLOTS, seed);
    s.addOnlineArrivals(Duration.ZERO, Duration.ofSeconds(4), 2 * 67);
    s.run(Duration.ofSeconds(4));
    long late =
        s.onlineWaitTimes.stream()
            .filter(w -> w.compareTo(SlotSimulation.OBJECTIVE_WAIT) > 0)
            .count();
    assertThat(s.refusals).isNotEmpty();
    assertThat(late).isLessThan(s.onlineWaitTimes.size() / 20);
    assertThat(s.refusals)
        .allMatch(
            r -> r.retryAt().isAfter(r.request().receivedAt()),
            "has a retry time after its arrival");
  }

  @Test
  void noRequestIsRefusedWhileSlotsAreFree() {
    SlotSimulation s = new SlotSimulation(ENGINES, SLOTS, 0);
    for (int i = 0; i < ENGINES * SLOTS; i++) {
      s.submit(WorkClass.ONLINE, SlotSimulation.OBJECTIVE_WAIT);
    }
    assertThat(s.refusals).isEmpty();
    assertThat(s.onlineWaitTimes).hasSize(ENGINES * SLOTS).allMatch(Duration::isZero);
  }

  /** After a restart requests wait for a coordinator until their objective cannot be met. */
  @Test
  void requestPastItsLatestStartStartsOnAFreeSlot() {
    SlotSimulation s = new SlotSimulation(ENGINES, SLOTS, 0);
    s.submit(WorkClass.ONLINE, Duration.ofMillis(-92));
    assertThat(s.refusals).isEmpty();
    assertThat(s.onlineWaitTimes).containsExactly(Duration.ZERO);
  }

  @Test
  void retryTimeOfARefusalIsNeverInThePast() {
    SlotSimulation s = new SlotSimulation(1, 2, 0);
    s.submit(WorkClass.ONLINE, SlotSimulation.OBJECTIVE_WAIT);
    s.submit(WorkClass.ONLINE, SlotSimulation.OBJECTIVE_WAIT);
    s.now = s.now.plus(SlotSimulation.ONLINE_RUN.multipliedBy(2));
    s.submit(WorkClass.ONLINE, Duration.ofMillis(-92));
    assertThat(s.refusals).allMatch(r -> r.retryAt().isAfter(s.now));
    assertThat(s.refusals).hasSize(1);
  }

  @Test
  void failedEngineGetsNoRequestsUntilAProbeSucceeds() {
    SlotSimulation s = new SlotSimulation(2, SLOTS, 0);
    s.submit(WorkClass.ONLINE, SlotSimulation.OBJECTIVE_WAIT);
    s.failRunsOf(0);
    s.failRunsOf(1);
    s.submit(WorkClass.ONLINE, SlotSimulation.OBJECTIVE_WAIT);
    s.submit(WorkClass.ONLINE, SlotSimulation.OBJECTIVE_WAIT);
    assertThat(s.onlineWaitTimes).hasSize(3);
    assertThat(s.runsByEngine.values().stream().filter(n -> n > 0)).hasSize(1);
  }

  @Test
  void batchRunsOfAnotherCoordinatorArePreempted() {
    SlotSimulation s = new SlotSimulation(1, 2, 0);
    for (long n = 100; n < 102; n++) {
      RunId existingRun = new RunId(HostId.of("other"), n);
      s.scheduler.addExistingRun(
          existingRun,
          UpstreamId.of("engine-0"),
          new ExistingRun(
              RequestId.of("r" + n), List.of(), Option.none(), false, Option.none(), s.now));
    }
    s.submit(WorkClass.ONLINE, SlotSimulation.OBJECTIVE_WAIT);
    assertThat(s.refusals).isEmpty();
    assertThat(s.onlineWaitTimes).containsExactly(Duration.ZERO);
  }

  @Test
  void itemsThatCanBeInTimeStartBeforeThoseThatCannot() {
    SlotSimulation s = new SlotSimulation(1, 1, 0);
    s.submit(WorkClass.ONLINE, SlotSimulation.OBJECTIVE_WAIT);
    s.submit(WorkClass.BATCH, Duration.ofMillis(100));
    s.submit(WorkClass.BATCH, Duration.ofSeconds(5));
    s.run(Duration.ofSeconds(1));
    assertThat(s.startedNumbers).containsExactly(1L, 3L);
  }

  @Test
  void repeatedRequestIsScheduledOnce() {
    SlotSimulation s = new SlotSimulation(1, 1, 0);
    SlotRequest first = s.request(WorkClass.ONLINE, SlotSimulation.OBJECTIVE_WAIT);
    SlotRequest second = s.request(WorkClass.BATCH, Duration.ofSeconds(18));
    assertThat(s.scheduler.submit(first, s.now)).hasSize(1);
    assertThat(s.scheduler.submit(second, s.now)).isEmpty();
    assertThat(s.scheduler.submit(first, s.now))
        .as("the grant may have been lost")
        .containsExactly(new SlotDecision.Grant(first, UpstreamId.of("engine-0")));
    assertThat(s.scheduler.submit(second, s.now)).isEmpty();
    assertThat(s.scheduler.load(s.now).batchWaiting()).isEqualTo(1);
  }

  @Test
  void runWithLostEndFreesItsSlotOnceItsHostNoLongerListsIt() {
    SlotSimulation s = new SlotSimulation(1, 1, 0);
    SlotRequest first = s.request(WorkClass.ONLINE, SlotSimulation.OBJECTIVE_WAIT);
    s.scheduler.submit(first, s.now);
    HostId host = first.id().host();
    assertThat(s.scheduler.retainListedRuns(host, Set.of(), s.now)).isEmpty();
    assertThat(s.scheduler.load(s.now).online())
        .as("the host may not have received the grant")
        .isEqualTo(1);
    s.scheduler.retainListedRuns(host, Set.of(first.id()), s.now.plusSeconds(5));
    assertThat(s.scheduler.load(s.now).online()).isEqualTo(1);
    s.scheduler.retainListedRuns(host, Set.of(), s.now.plusSeconds(5));
    assertThat(s.scheduler.load(s.now).online()).isZero();
  }
}
