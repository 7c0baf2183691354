package org.waxwingcourse.fleet.slot;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.waxwingcourse.fleet.slot.PlacementReplay.Order;
import org.waxwingcourse.fleet.slot.PlacementReplay.Work;

/**
 * Compares orders of engines under load that swings, at loads below and above all slots. Guards
 * against an order in use that serves fewer requests in time than joining the shortest queue.
 */
class PlacementComparisonTest {
  private static final int SEEDS = 3;

  private static double inTime(List<Work> works, Predicate<Work> kind) {
    return works.stream().filter(kind).mapToInt(w -> w.inTime ? 1 : 0).average().orElse(0);
  }

  @ParameterizedTest
  @ValueSource(doubles = {0.8, 1.1})
  void presentOrderServesAsManyInTimeAsTheShortestQueue(double load) {
    Map<Order, Double> online = new EnumMap<>(Order.class);
    for (Order order : Order.values()) {
      List<Work> works = new ArrayList<>();
      for (long seed = 1; seed <= SEEDS; seed++) {
        PlacementReplay replay = new PlacementReplay(seed, load, order);
        replay.run();
        works.addAll(replay.works);
      }
      online.put(order, inTime(works, w -> w.online));
      System.out.printf(
          "load %.1f %-24s online %.4f (short %.4f long %.4f, dc %.4f %.4f %.4f) items %.4f%n",
          load,
          order,
          online.get(order),
          inTime(works, w -> w.online && !w.isLong()),
          inTime(works, w -> w.online && w.isLong()),
          inTime(works, w -> w.online && w.dataCentre == 0),
          inTime(works, w -> w.online && w.dataCentre == 1),
          inTime(works, w -> w.online && w.dataCentre == 2),
          inTime(works, w -> !w.online));
    }
    assertThat(online.get(Order.PRESENT))
        .isGreaterThanOrEqualTo(online.get(Order.JOIN_SHORTEST_QUEUE));
  }
}
