package org.waxwingcourse.cli.report;

import java.util.Locale;

/** Formats a burn report as a text table. */
public final class BurnTable {
  private static final String ROW = "%-15s %-24s %10s %8s %7s %7s %7s %7s %7s  %s%n";

  private BurnTable() {}

  /** Returns the table; at a burn rate of 1 the error budget is consumed exactly. */
  public static String of(BurnReport report) {
    StringBuilder text = new StringBuilder();
    text.append(
        row("objective", "organisation", "events", "bad", "5m", "30m", "1h", "6h", "3d", "alert"));
    for (BurnRow row : report.rows()) {
      EventCount counts = row.longestWindowCount();
      text.append(
          row(
              row.slo().wireName(),
              row.organisation(),
              counts.total(),
              counts.total() - counts.good(),
              burnRate(row, Window.M5),
              burnRate(row, Window.M30),
              burnRate(row, Window.H1),
              burnRate(row, Window.H6),
              burnRate(row, Window.D3),
              row.alert() == BurnRow.Alert.NONE ? "" : row.alert().name()));
    }
    long minutes = report.coveredMillis() / 60_000;
    text.append("samples cover the last ").append(minutes).append(" minutes\n");
    return text.toString();
  }

  private static String burnRate(BurnRow row, Window window) {
    return String.format(Locale.ROOT, "%.2f", row.burnRates().get(window));
  }

  private static String row(Object... cells) {
    return String.format(Locale.ROOT, ROW, cells);
  }
}
