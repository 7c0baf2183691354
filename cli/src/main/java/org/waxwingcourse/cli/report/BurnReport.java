package org.waxwingcourse.cli.report;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Service-level burn at one time.
 *
 * @param atMillis the time, milliseconds since 1970
 * @param coveredMillis how far back samples go
 * @param rows one for each objective and organisation
 */
public record BurnReport(long atMillis, long coveredMillis, List<BurnRow> rows) {
  /** Copies the rows. */
  public BurnReport {
    rows = List.copyOf(rows);
  }

  /** Computes the burn at the last sample of a history. */
  public static BurnReport of(History history) {
    long at = history.rounds().last();
    List<BurnRow> rows = new ArrayList<>();
    for (Series series : history.series()) {
      Optional<Target> target = Target.of(series.objective());
      target.ifPresent(found -> rows.add(rowOf(history, series, found, at)));
    }
    return new BurnReport(at, at - history.rounds().first(), rows);
  }

  private static BurnRow rowOf(History history, Series series, Target target, long at) {
    Map<Window, Double> burn = new EnumMap<>(Window.class);
    for (Window window : Window.values()) {
      long from = at - window.length().toMillis();
      burn.put(window, target.burn(history.increase(series, from, at)));
    }
    LevelCount longest = history.increase(series, at - Window.D3.length().toMillis(), at);
    return BurnRow.of(target, series.organisation(), burn, longest);
  }
}
