package org.waxwingcourse.fleet.slot;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.request.WorkClass;

/**
 * Compares ways to use engines with a limit under the same load, by the worth of what is served: a
 * batch run is worth six online requests that start in time.
 */
class LimitedPlacementComparisonTest {
  private static final int ENGINES = 6;
  private static final int SLOTS = 8;
  private static final Duration SPAN = Duration.ofSeconds(30);
  private static final double ONLINE_PER_SECOND = 36;
  private static final double BATCH_PER_SECOND = 4;
  private static final double BATCH_WORTH = 6;

  private static final double[] SHARES = {0.2, 0.7, 1};

  /** Limits in parts of the requests that an engine gets without one. */
  private static final double[] LIMITS = {0.1, 0.3, 0.5, 1, 1.5};

  private static final double[] LOADS = {0.5, 1, 2};

  private static final Map<String, LimitedPlacement> WAYS = new LinkedHashMap<>();

  static {
    WAYS.put("default", LimitedPlacement.createDefault());
    WAYS.put("bucket only", (request, starts, now) -> 0);
    WAYS.put(
        "rate aware",
        (request, starts, now) -> starts.isFull(now) ? 0 : LimitedPlacement.DECISIVE_COST);
    WAYS.put(
        "long runs only",
        (request, starts, now) ->
            request.isOnline() ? LimitedPlacement.DECISIVE_COST : -LimitedPlacement.DECISIVE_COST);
  }

  private static double worth(LimitedPlacement way, double share, double limit, double load) {
    SlotSimulation s = new SlotSimulation(ENGINES, SLOTS, 7, FreeSlotReserve.createDefault(), way);
    double perEngine = (ONLINE_PER_SECOND + BATCH_PER_SECOND) / ENGINES;
    s.limitEngines((int) Math.ceil(share * ENGINES - 0.5), limit * perEngine);
    s.addOnlineArrivals(Duration.ZERO, SPAN, load * ONLINE_PER_SECOND);
    int items = (int) (load * BATCH_PER_SECOND * SPAN.toSeconds());
    for (int i = 0; i < items; i++) {
      Duration at = SPAN.multipliedBy(i).dividedBy(items);
      s.schedule(at, () -> s.submit(WorkClass.BATCH, Duration.ofSeconds(13)));
    }
    s.run(SPAN);
    double batchRuns = (double) s.batchWork.toMillis() / SlotSimulation.BATCH_RUN.toMillis();
    return s.startedInTime + BATCH_WORTH * batchRuns;
  }

  @Test
  void defaultServesAtLeastWhatOtherWaysServe() {
    Map<String, Double> totals = new LinkedHashMap<>();
    for (double load : LOADS) {
      for (double share : SHARES) {
        for (double limit : LIMITS) {
          StringBuilder row = new StringBuilder();
          WAYS.forEach(
              (name, way) -> {
                double worth = worth(way, share, limit, load);
                totals.merge(name, worth, Double::sum);
                row.append("  %s %.0f".formatted(name, worth));
              });
          System.out.printf("load %.1f, share %.1f, limit %.1f:%s%n", load, share, limit, row);
        }
      }
    }
    System.out.println("total: " + totals);
    double best = totals.values().stream().mapToDouble(v -> v).max().orElseThrow();
    assertThat(totals.get("default")).isGreaterThanOrEqualTo(0.99 * best);
  }
}
