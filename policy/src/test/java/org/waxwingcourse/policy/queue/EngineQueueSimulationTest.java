package org.waxwingcourse.policy.queue;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

class EngineQueueSimulationTest {
  private static final double RUN_MILLIS = 3_600_000;
  private static final double MAX_LATENCY_RATIO = 1.05;
  private static final double MIN_THROUGHPUT_SHARE = 0.95;
  private static final String LIGHT_LOAD = "light";
  private static final QueueSimulation.ArrivalRate MODERATE_LOAD = s -> 1.6;
  private static final Map<String, QueueSimulation.ArrivalRate> LOADS =
      new TreeMap<>(
          Map.of(
              "planned",
              s -> 2.0,
              "waves",
              s -> s % 120 < 60 ? 0.5 : 2.0,
              "bursts",
              s -> s % 30 < 20 ? 0.1 : 3.5,
              LIGHT_LOAD,
              s -> 0.4));

  @Test
  void batchLeavesTheOnlineTailWithinFivePerCent() {
    LOADS.forEach(
        (name, load) -> {
          QueueSimulation withoutBatch =
              withOnlineLoad(QueueSimulation.of(false), load).run(RUN_MILLIS);
          QueueSimulation withBatch =
              withOnlineLoad(QueueSimulation.of(true), load).run(RUN_MILLIS);
          QueueSimulation allSlots =
              withOnlineLoad(QueueSimulation.withFixedStreamLimit(QueueSimulation.SLOTS), load)
                  .run(RUN_MILLIS);
          printLatencies(name + " batch on", withBatch, withoutBatch);
          printLatencies(name + " all slots", allSlots, withoutBatch);
          assertThat(firstTokenRatio(withBatch, withoutBatch, 0.95))
              .as(name)
              .isLessThan(MAX_LATENCY_RATIO);
          assertThat(interTokenRatio(withBatch, withoutBatch, 0.95))
              .as(name)
              .isLessThan(MAX_LATENCY_RATIO);
          assertThat(interTokenRatio(allSlots, withoutBatch, 0.95))
              .as(name)
              .isGreaterThan(MAX_LATENCY_RATIO);
        });
  }

  @Test
  void batchThroughputReachesThatOfTheBestFixedRoom() {
    LOADS.keySet().stream()
        .filter(name -> !name.equals(LIGHT_LOAD))
        .forEach(
            name ->
                assertThat(shareOfBestFixedLimit(name))
                    .as(name)
                    .isGreaterThan(MIN_THROUGHPUT_SHARE));
  }

  @Test
  @Tag("known-red")
  void batchThroughputReachesThatOfTheBestFixedRoomAtLightLoad() {
    assertThat(shareOfBestFixedLimit(LIGHT_LOAD)).isGreaterThan(MIN_THROUGHPUT_SHARE);
  }

  private static double shareOfBestFixedLimit(String name) {
    QueueSimulation.ArrivalRate load = LOADS.get(name);
    QueueSimulation withoutBatch = withOnlineLoad(QueueSimulation.of(false), load).run(RUN_MILLIS);
    QueueSimulation withBatch = withOnlineLoad(QueueSimulation.of(true), load).run(RUN_MILLIS);
    long best = 0;
    for (int streamLimit = 2; streamLimit <= 20; streamLimit += 2) {
      QueueSimulation fixed =
          withOnlineLoad(QueueSimulation.withFixedStreamLimit(streamLimit), load).run(RUN_MILLIS);
      if (firstTokenRatio(fixed, withoutBatch, 0.95) < MAX_LATENCY_RATIO
          && interTokenRatio(fixed, withoutBatch, 0.95) < MAX_LATENCY_RATIO) {
        best = Math.max(best, fixed.batchTokens);
      }
    }
    double share = withBatch.batchTokens / (double) best;
    System.out.printf("%s: %.3f of the best fixed room%n", name, share);
    return share;
  }

  @Test
  void goodputHoldsAtTwiceTheCapacityAndRefusalsAreQuick() {
    int peak = 0;
    for (double load = 2.0; load <= 3.6; load += 0.4) {
      double rate = load;
      peak =
          Math.max(
              peak,
              withOnlineLoad(QueueSimulation.of(false), s -> rate)
                  .run(RUN_MILLIS / 4)
                  .completedInTime);
    }
    QueueSimulation twice = withOnlineLoad(QueueSimulation.of(false), s -> 6.0).run(RUN_MILLIS / 4);
    QueueSimulation withoutRejection =
        withOnlineLoad(QueueSimulation.of(false).withoutRejections(), s -> 6.0).run(RUN_MILLIS / 4);
    System.out.printf(
        "peak %d, twice the capacity %d, without refusals %d; refused %d p50 %.0f p99 %.0f ms,"
            + " waiting at most %d%n",
        peak,
        twice.completedInTime,
        withoutRejection.completedInTime,
        twice.rejected,
        twice.rejectionMillis.percentile(0.5),
        twice.rejectionMillis.percentile(0.99),
        twice.maxWaiting);
    assertThat(twice.completedInTime).isGreaterThan((int) (0.9 * peak));
    assertThat(withoutRejection.completedInTime).isLessThan((int) (0.9 * peak));
    assertThat(twice.maxWaiting)
        .isLessThanOrEqualTo(QueueLimits.ofSlots(QueueSimulation.SLOTS).maxWaitingOnline());
  }

  @Test
  void noOrganisationIsHarmedByAnotherAtSeveralTimesItsRate() {
    QueueSimulation alone =
        withOnlineLoad(QueueSimulation.of(false), MODERATE_LOAD).run(RUN_MILLIS / 2);
    QueueSimulation fair = runWithOverloadingOrganisation(QueueSimulation.of(false));
    QueueSimulation singleQueue =
        runWithOverloadingOrganisation(QueueSimulation.of(false).withSingleQueue());
    System.out.printf(
        "worst served: fair %.3f, single queue %.3f%n",
        worstServedRatio(fair, alone), worstServedRatio(singleQueue, alone));
    assertThat(worstServedRatio(fair, alone)).isGreaterThan(0.9);
    assertThat(worstServedRatio(singleQueue, alone)).isLessThan(0.9);
  }

  @Test
  @Tag("known-red")
  void noOrganisationsTailIsHarmedByAnotherAtSeveralTimesItsRate() {
    QueueSimulation alone =
        withOnlineLoad(QueueSimulation.of(false), MODERATE_LOAD).run(RUN_MILLIS / 2);
    QueueSimulation fair = runWithOverloadingOrganisation(QueueSimulation.of(false));
    System.out.printf("worst tail: fair %.3f%n", worstTailRatio(fair, alone));
    assertThat(worstTailRatio(fair, alone)).isLessThan(1.1);
  }

  private static QueueSimulation runWithOverloadingOrganisation(QueueSimulation run) {
    return withOnlineLoad(run.addTraffic("o0", s -> 2.4, 99), MODERATE_LOAD).run(RUN_MILLIS / 2);
  }

  private static double worstServedRatio(QueueSimulation run, QueueSimulation alone) {
    return alone.servedByOrganisation.keySet().stream()
        .filter(o -> !o.equals("o0"))
        .mapToDouble(
            o ->
                run.servedByOrganisation.getOrDefault(o, 0)
                    / (double) alone.servedByOrganisation.get(o))
        .min()
        .orElseThrow();
  }

  private static double worstTailRatio(QueueSimulation run, QueueSimulation alone) {
    return alone.firstTokenByOrganisation.keySet().stream()
        .filter(o -> !o.equals("o0"))
        .mapToDouble(
            o ->
                run.firstTokenByOrganisation.get(o).percentile(0.95)
                    / alone.firstTokenByOrganisation.get(o).percentile(0.95))
        .max()
        .orElseThrow();
  }

  private static QueueSimulation withOnlineLoad(
      QueueSimulation run, QueueSimulation.ArrivalRate load) {
    for (int i = 0; i < 8; i++) {
      double share = i < 2 ? 0.3 : 0.4 / 6;
      run.addTraffic("o" + i, s -> share * load.at(s), i);
    }
    return run;
  }

  private static double firstTokenRatio(QueueSimulation run, QueueSimulation base, double share) {
    return run.firstTokenMillis.percentile(share) / base.firstTokenMillis.percentile(share);
  }

  private static double interTokenRatio(QueueSimulation run, QueueSimulation base, double share) {
    return run.interTokenMillis.percentile(share) / base.interTokenMillis.percentile(share);
  }

  private static void printLatencies(
      String name, QueueSimulation run, QueueSimulation withoutBatch) {
    System.out.printf(
        "%s: first p95 %.3f p99 %.3f, between p95 %.3f p99 %.3f of batch off; batch tokens %d%n",
        name,
        firstTokenRatio(run, withoutBatch, 0.95),
        firstTokenRatio(run, withoutBatch, 0.99),
        interTokenRatio(run, withoutBatch, 0.95),
        interTokenRatio(run, withoutBatch, 0.99),
        run.batchTokens);
  }
}
