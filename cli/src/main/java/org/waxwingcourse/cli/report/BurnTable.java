package org.waxwingcourse.cli.report;

import java.util.Locale;

/** Writes a burn report as a table. */
public final class BurnTable {
  private static final String ROW = "%-15s %-24s %10s %8s %7s %7s %7s %7s %7s  %s%n";

  private BurnTable() {}

  /** Returns the table; a burn of one uses up the error budget exactly. */
  public static String of(BurnReport report) {
    StringBuilder text = new StringBuilder();
    text.append(
        row("objective", "organisation", "events", "bad", "5m", "30m", "1h", "6h", "3d", "alert"));
    for (BurnRow row : report.rows()) {
      LevelCount counts = row.longest();
      text.append(
          row(
              row.target().objective(),
              row.organisation(),
              counts.total(),
              counts.total() - counts.good(),
              burn(row, Window.M5),
              burn(row, Window.M30),
              burn(row, Window.H1),
              burn(row, Window.H6),
              burn(row, Window.D3),
              row.alert() == BurnRow.Alert.NONE ? "" : row.alert().name()));
    }
    long minutes = report.coveredMillis() / 60_000;
    text.append("samples cover the last ").append(minutes).append(" minutes\n");
    return text.toString();
  }

  private static String burn(BurnRow row, Window window) {
    return String.format(Locale.ROOT, "%.2f", row.burn().get(window));
  }

  private static String row(Object... cells) {
    return String.format(Locale.ROOT, ROW, cells);
  }
}
