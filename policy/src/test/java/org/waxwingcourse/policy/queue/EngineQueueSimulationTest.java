package org.waxwingcourse.policy.queue;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

class EngineQueueSimulationTest {
  private static final double MILLIS = 3_600_000;
  private static final double TARGET = 1.05;
  private static final double THROUGHPUT = 0.95;
  private static final String LIGHT = "light";
  private static final QueueRun.Rate MODERATE = s -> 1.6;
  private static final Map<String, QueueRun.Rate> LOADS =
      new TreeMap<>(
          Map.of(
              "planned",
              s -> 2.0,
              "waves",
              s -> s % 120 < 60 ? 0.5 : 2.0,
              "bursts",
              s -> s % 30 < 20 ? 0.1 : 3.5,
              LIGHT,
              s -> 0.4));

  @Test
  void batchLeavesTheOnlineTailWithinFivePerCent() {
    LOADS.forEach(
        (name, load) -> {
          QueueRun off = online(QueueRun.of(false), load).run(MILLIS);
          QueueRun on = online(QueueRun.of(true), load).run(MILLIS);
          QueueRun full = online(QueueRun.withFixedStreamLimit(QueueRun.SLOTS), load).run(MILLIS);
          print(name + " batch on", on, off);
          print(name + " all slots", full, off);
          assertThat(first(on, off, 0.95)).as(name).isLessThan(TARGET);
          assertThat(gap(on, off, 0.95)).as(name).isLessThan(TARGET);
          assertThat(gap(full, off, 0.95)).as(name).isGreaterThan(TARGET);
        });
  }

  @Test
  void batchThroughputReachesThatOfTheBestFixedRoom() {
    LOADS.keySet().stream()
        .filter(name -> !name.equals(LIGHT))
        .forEach(name -> assertThat(shareOfBestFixedRoom(name)).as(name).isGreaterThan(THROUGHPUT));
  }

  @Test
  @Tag("known-red")
  void batchThroughputReachesThatOfTheBestFixedRoomAtLightLoad() {
    assertThat(shareOfBestFixedRoom(LIGHT)).isGreaterThan(THROUGHPUT);
  }

  private static double shareOfBestFixedRoom(String name) {
    QueueRun.Rate load = LOADS.get(name);
    QueueRun off = online(QueueRun.of(false), load).run(MILLIS);
    QueueRun on = online(QueueRun.of(true), load).run(MILLIS);
    long best = 0;
    for (int room = 2; room <= 20; room += 2) {
      QueueRun fixed = online(QueueRun.withFixedStreamLimit(room), load).run(MILLIS);
      if (first(fixed, off, 0.95) < TARGET && gap(fixed, off, 0.95) < TARGET) {
        best = Math.max(best, fixed.batchTokens);
      }
    }
    double share = on.batchTokens / (double) best;
    System.out.printf("%s: %.3f of the best fixed room%n", name, share);
    return share;
  }

  @Test
  void goodputHoldsAtTwiceTheCapacityAndRefusalsAreQuick() {
    int peak = 0;
    for (double load = 2.0; load <= 3.6; load += 0.4) {
      double rate = load;
      peak = Math.max(peak, online(QueueRun.of(false), s -> rate).run(MILLIS / 4).good);
    }
    QueueRun twice = online(QueueRun.of(false), s -> 6.0).run(MILLIS / 4);
    QueueRun patient = online(QueueRun.of(false).withoutRefusals(), s -> 6.0).run(MILLIS / 4);
    System.out.printf(
        "peak %d, twice the capacity %d, without refusals %d; refused %d p50 %.0f p99 %.0f ms,"
            + " waiting at most %d%n",
        peak,
        twice.good,
        patient.good,
        twice.refused,
        twice.refusalMillis.percentile(0.5),
        twice.refusalMillis.percentile(0.99),
        twice.maxWaiting);
    assertThat(twice.good).isGreaterThan((int) (0.9 * peak));
    assertThat(patient.good).isLessThan((int) (0.9 * peak));
    assertThat(twice.maxWaiting)
        .isLessThanOrEqualTo(QueueLimits.ofSlots(QueueRun.SLOTS).maxOnline());
  }

  @Test
  void noOrganisationIsHarmedByAnotherAtSeveralTimesItsRate() {
    QueueRun alone = online(QueueRun.of(false), MODERATE).run(MILLIS / 2);
    QueueRun fair = flooded(QueueRun.of(false));
    QueueRun line = flooded(QueueRun.of(false).inOneLine());
    System.out.printf(
        "worst served: fair %.3f, one line %.3f%n", worst(fair, alone), worst(line, alone));
    assertThat(worst(fair, alone)).isGreaterThan(0.9);
    assertThat(worst(line, alone)).isLessThan(0.9);
  }

  @Test
  @Tag("known-red")
  void noOrganisationsTailIsHarmedByAnotherAtSeveralTimesItsRate() {
    QueueRun alone = online(QueueRun.of(false), MODERATE).run(MILLIS / 2);
    QueueRun fair = flooded(QueueRun.of(false));
    System.out.printf("worst tail: fair %.3f%n", worstTail(fair, alone));
    assertThat(worstTail(fair, alone)).isLessThan(1.1);
  }

  private static QueueRun flooded(QueueRun run) {
    return online(run.traffic("o0", s -> 2.4, 99), MODERATE).run(MILLIS / 2);
  }

  private static double worst(QueueRun run, QueueRun alone) {
    return alone.servedByOrganisation.keySet().stream()
        .filter(o -> !o.equals("o0"))
        .mapToDouble(
            o ->
                run.servedByOrganisation.getOrDefault(o, 0)
                    / (double) alone.servedByOrganisation.get(o))
        .min()
        .orElseThrow();
  }

  private static double worstTail(QueueRun run, QueueRun alone) {
    return alone.firstByOrganisation.keySet().stream()
        .filter(o -> !o.equals("o0"))
        .mapToDouble(
            o ->
                run.firstByOrganisation.get(o).percentile(0.95)
                    / alone.firstByOrganisation.get(o).percentile(0.95))
        .max()
        .orElseThrow();
  }

  private static QueueRun online(QueueRun run, QueueRun.Rate load) {
    for (int i = 0; i < 8; i++) {
      double share = i < 2 ? 0.3 : 0.4 / 6;
      run.traffic("o" + i, s -> share * load.at(s), i);
    }
    return run;
  }

  private static double first(QueueRun run, QueueRun base, double share) {
    return run.firstToken.percentile(share) / base.firstToken.percentile(share);
  }

  private static double gap(QueueRun run, QueueRun base, double share) {
    return run.gaps.percentile(share) / base.gaps.percentile(share);
  }

  private static void print(String name, QueueRun run, QueueRun off) {
    System.out.printf(
        "%s: first p95 %.3f p99 %.3f, between p95 %.3f p99 %.3f of batch off; batch tokens %d%n",
        name,
        first(run, off, 0.95),
        first(run, off, 0.99),
        gap(run, off, 0.95),
        gap(run, off, 0.99),
        run.batchTokens);
  }
}
