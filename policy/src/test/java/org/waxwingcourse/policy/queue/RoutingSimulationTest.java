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
  private static final double MILLIS = 600_000;
  private static final double PER_SECOND = 10;
  private static final double DIGEST_MILLIS = 250;
  private static final double REPORT_MILLIS = 1000;

  @Test
  void chosenWayBeatsTwoChoicesOnLaggingReportsAndRoundRobin() {
    EnginePicker picker = EnginePicker.of(PrefixIndex.of(65_536), new Random(1));
    RoutingRun chosen =
        new RoutingRun((views, prompt) -> numberOf(picker, views, prompt), DIGEST_MILLIS)
            .run(PER_SECOND, MILLIS);
    Random random = new Random(2);
    RoutingRun two =
        new RoutingRun((views, prompt) -> twoChoices(views, random), REPORT_MILLIS)
            .run(PER_SECOND, MILLIS);
    AtomicInteger next = new AtomicInteger();
    RoutingRun turn =
        new RoutingRun(
                (views, prompt) -> next.getAndIncrement() % RoutingRun.ENGINES, REPORT_MILLIS)
            .run(PER_SECOND, MILLIS);
    print("chosen", chosen);
    print("two choices", two);
    print("round robin", turn);
    for (RoutingRun other : List.of(two, turn)) {
      assertThat(chosen.firstToken.percentile(0.95)).isLessThan(other.firstToken.percentile(0.95));
      assertThat(chosen.refused).isLessThanOrEqualTo(other.refused);
      assertThat(chosen.hits).isGreaterThan(other.hits);
    }
  }

  private static int numberOf(EnginePicker picker, List<EngineView> views, String prompt) {
    return Integer.parseInt(picker.pick(views, prompt).get().value().substring(1));
  }

  private static int twoChoices(List<EngineView> views, Random random) {
    int a = random.nextInt(RoutingRun.ENGINES);
    int b = random.nextInt(RoutingRun.ENGINES);
    return views.get(a).load() <= views.get(b).load() ? a : b;
  }

  private static void print(String name, RoutingRun run) {
    System.out.printf(
        "%s: first token p50 %.0f p95 %.0f p99 %.0f ms, refused %d, cached %.3f of %d%n",
        name,
        run.firstToken.percentile(0.5),
        run.firstToken.percentile(0.95),
        run.firstToken.percentile(0.99),
        run.refused,
        run.hits / (double) run.sent,
        run.sent);
  }
}
