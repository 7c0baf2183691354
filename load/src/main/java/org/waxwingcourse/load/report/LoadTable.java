package org.waxwingcourse.load.report;

import java.util.Locale;

/** Formats a report as a table with fixed columns. Latencies are in milliseconds. */
final class LoadTable {
  private static final String ROW_FORMAT = "%-24s %8s %8s %8s %8s %9s %9s %9s %9s %9s %9s%n";

  private LoadTable() {}

  static String of(LoadReport report) {
    StringBuilder text = new StringBuilder();
    text.append(
        formatRow(
            "organisation",
            "sent",
            "done",
            "refused*",
            "over",
            "total p50",
            "total p99",
            "first p50",
            "first p99",
            "next p50",
            "next p99"));
    report.organisations().forEach(organisation -> text.append(rowOf(organisation)));
    text.append(rowOf(report.total()));
    text.append("* refused although inside rate and burst\n");
    text.append("outcomes:");
    report.total().outcomes().forEach(o -> text.append(format(" %s=%d", o.name(), o.count())));
    text.append(format("%nworst served: %s%n", report.worstServed()));
    text.append(format("unanswered at the end: %d%n", report.unanswered()));
    text.append(format("latest send after schedule: %.1f ms%n", report.lateSends()));
    for (BatchReport batch : report.batches()) {
      text.append(
          format(
              "batch of %s: %s, %d of %d items done, %d failed, %.1f s%n",
              batch.organisation(),
              batch.status(),
              batch.completed(),
              batch.items(),
              batch.failed(),
              batch.seconds()));
    }
    for (FaultReport fault : report.faults()) {
      text.append(
          format(
              "fault at %.1f s: %s %s: %s%n",
              fault.atSeconds(), fault.address(), fault.body(), fault.result()));
    }
    return text.toString();
  }

  private static String rowOf(OrganisationReport report) {
    return formatRow(
        report.name(),
        report.arrivals(),
        report.completed(),
        report.refusedInsideRate(),
        format("%.1f", report.overRate()),
        formatMillis(report.latency().p50()),
        formatMillis(report.latency().p99()),
        formatMillis(report.firstToken().p50()),
        formatMillis(report.firstToken().p99()),
        formatMillis(report.betweenTokens().p50()),
        formatMillis(report.betweenTokens().p99()));
  }

  private static String formatRow(Object... cells) {
    return format(ROW_FORMAT, cells);
  }

  private static String formatMillis(double value) {
    return format("%.1f", value);
  }

  private static String format(String pattern, Object... arguments) {
    return String.format(Locale.ROOT, pattern, arguments);
  }
}
