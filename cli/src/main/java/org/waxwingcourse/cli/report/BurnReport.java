package org.waxwingcourse.cli.report;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The error budget burn rates of all objectives and organisations at one point in time.
 *
 * @param atMillis the time of the last sample, milliseconds since 1970
 * @param coveredMillis the time between the first and the last sample, milliseconds
 * @param rows one row for each objective and organisation
 */
public record BurnReport(long atMillis, long coveredMillis, List<BurnRow> rows) {
  /** Makes an unmodifiable copy of the rows. */
  public BurnReport {
    rows = List.copyOf(rows);
  }

  /** Computes the burn rates at the last sample of a history. */
  public static BurnReport of(SampleHistory history) {
    long at = history.sampleTimes().last();
    List<BurnRow> rows = new ArrayList<>();
    for (SeriesKey series : history.series()) {
      Optional<ServiceLevelObjective> slo = ServiceLevelObjective.of(series.objective());
      slo.ifPresent(found -> rows.add(createRow(history, series, found, at)));
    }
    return new BurnReport(at, at - history.sampleTimes().first(), rows);
  }

  private static BurnRow createRow(
      SampleHistory history, SeriesKey series, ServiceLevelObjective slo, long at) {
    Map<Window, Double> burnRates = new EnumMap<>(Window.class);
    for (Window window : Window.values()) {
      long from = at - window.length().toMillis();
      burnRates.put(window, slo.burnRate(history.increase(series, from, at)));
    }
    EventCount longestWindowCount =
        history.increase(series, at - Window.D3.length().toMillis(), at);
    return BurnRow.of(slo, series.organisation(), burnRates, longestWindowCount);
  }
}
