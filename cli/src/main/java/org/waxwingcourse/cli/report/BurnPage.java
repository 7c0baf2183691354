package org.waxwingcourse.cli.report;

import java.time.Instant;

/** Writes a burn report as one HTML page that needs no other file. */
public final class BurnPage {
  private static final String STYLE =
      "body{font-family:sans-serif;margin:2em}pre{background:#f4f4f4;padding:1em}";

  private BurnPage() {}

  /** Returns the page with the table and a plot for each objective. */
  public static String of(History history, BurnReport report) {
    StringBuilder page = new StringBuilder("<!DOCTYPE html>\n<html><head><meta charset=\"utf-8\">");
    page.append("<title>Service-level burn</title><style>").append(STYLE).append("</style></head>");
    page.append("<body><h1>Service-level burn</h1>\n<p>At ");
    page.append(Instant.ofEpochMilli(report.atMillis()));
    page.append(". A burn of 1 uses up the error budget exactly.</p>\n<pre>");
    page.append(escape(BurnTable.of(report))).append("</pre>\n");
    for (Target target : Target.values()) {
      boolean known = report.rows().stream().anyMatch(row -> row.target() == target);
      if (known) {
        page.append("<img alt=\"").append(target.objective()).append("\" src=\"");
        page.append(BurnPlot.dataUri(history, target)).append("\">\n");
      }
    }
    return page.append("</body></html>\n").toString();
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }
}
