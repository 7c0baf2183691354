package org.waxwingcourse.policy.queue;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.policy.route.EnginePicker;
import org.waxwingcourse.policy.route.EngineView;
import org.waxwingcourse.policy.route.PrefixIndex;

class RoutingSimulationTest {
  private static final double RUN_MILLIS = 600_000;
  private static final double PER_SECOND = 10;
  private static final double DIGEST_INTERVAL_MILLIS = 250;
  private static final double REPORT_INTERVAL_MILLIS = 1000;

  @Test
  void enginePickerOutperformsTwoChoicesOnDelayedReportsAndRoundRobin() {
    EnginePicker picker = EnginePicker.of(PrefixIndex.of(65_536), new Random(1));
    RoutingSimulation picked =
        new RoutingSimulation(
                (views, prompt) -> pickIndex(picker, views, prompt), DIGEST_INTERVAL_MILLIS)
            .run(PER_SECOND, RUN_MILLIS);
    Random random = new Random(2);
    RoutingSimulation bestOfTwo =
        new RoutingSimulation((views, prompt) -> twoChoices(views, random), REPORT_INTERVAL_MILLIS)
            .run(PER_SECOND, RUN_MILLIS);
    AtomicInteger next = new AtomicInteger();
    RoutingSimulation roundRobin =
        new RoutingSimulation(
                (views, prompt) -> next.getAndIncrement() % RoutingSimulation.ENGINES,
                REPORT_INTERVAL_MILLIS)
            .run(PER_SECOND, RUN_MILLIS);
    print("engine picker", picked);
    print("two choices", bestOfTwo);
    print("round robin", roundRobin);
    for (RoutingSimulation other : List.of(bestOfTwo, roundRobin)) {
      assertThat(picked.firstTokenMillis.percentile(0.95))
          .isLessThan(other.firstTokenMillis.percentile(0.95));
      assertThat(picked.rejected).isLessThanOrEqualTo(other.rejected);
      assertThat(picked.cacheHits).isGreaterThan(other.cacheHits);
    }
  }

  private static int pickIndex(EnginePicker picker, List<EngineView> views, String prompt) {
    return Integer.parseInt(picker.pick(views, prompt).get().value().substring(1));
  }

  private static int twoChoices(List<EngineView> views, Random random) {
    int a = random.nextInt(RoutingSimulation.ENGINES);
    int b = random.nextInt(RoutingSimulation.ENGINES);
    return views.get(a).load() <= views.get(b).load() ? a : b;
  }

  private static void print(String name, RoutingSimulation run) {
    System.out.printf(
        "%s: first token p50 %.0f p95 %.0f p99 %.0f ms, refused %d, cached %.3f of %d%n",
        name,
        run.firstTokenMillis.percentile(0.5),
        run.firstTokenMillis.percentile(0.95),
        run.firstTokenMillis.percentile(0.99),
        run.rejected,
        run.cacheHits / (double) run.sent,
        run.sent);
  }
}
