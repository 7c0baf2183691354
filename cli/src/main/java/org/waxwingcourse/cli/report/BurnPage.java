package org.waxwingcourse.cli.report;

import java.time.Instant;

/** Formats a burn report as a self-contained HTML page. */
public final class BurnPage {
  private static final String STYLE =
      "body{font-family:sans-serif;margin:2em}pre{background:#f4f4f4;padding:1em}";

  private BurnPage() {}

  /** Returns the page with the table and a plot for each objective. */
  public static String of(SampleHistory history, BurnReport report) {
    StringBuilder page = new StringBuilder("<!DOCTYPE html>\n<html><head><meta charset=\"utf-8\">");
    page.append("<title>Service-level burn</title><style>").append(STYLE).append("</style></head>");
    page.append("<body><h1>Service-level burn</h1>\n<p>At ");
    page.append(Instant.ofEpochMilli(report.atMillis()));
    page.append(". A burn rate of 1 consumes the error budget exactly.</p>\n<pre>");
    page.append(escape(BurnTable.of(report))).append("</pre>\n");
    for (ServiceLevelObjective slo : ServiceLevelObjective.values()) {
      boolean hasRows = report.rows().stream().anyMatch(row -> row.slo() == slo);
      if (hasRows) {
        page.append("<img alt=\"").append(slo.wireName()).append("\" src=\"");
        page.append(BurnPlot.dataUri(history, slo)).append("\">\n");
      }
    }
    return page.append("</body></html>\n").toString();
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }
}
