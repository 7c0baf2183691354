package org.waxwingcourse.load.report;

import java.util.Locale;

/** Writes a report as a table of fixed columns. Latencies are in milliseconds. */
final class LoadTable {
  private static final String ROW = "%-24s %8s %8s %8s %8s %9s %9s %9s %9s %9s %9s%n";

  private LoadTable() {}

  static String of(LoadReport report) {
    StringBuilder text = new StringBuilder();
    text.append(
        row(
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
    report.total().outcomes().forEach(o -> text.append(line(" %s=%d", o.name(), o.count())));
    text.append(line("%nworst served: %s%n", report.worstServed()));
    text.append(line("unanswered at the end: %d%n", report.unanswered()));
    text.append(line("latest send after schedule: %.1f ms%n", report.lateSends()));
    for (BatchReport batch : report.batches()) {
      text.append(
          line(
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
          line(
              "fault at %.1f s: %s %s: %s%n",
              fault.atSeconds(), fault.address(), fault.body(), fault.result()));
    }
    return text.toString();
  }

  private static String rowOf(OrganisationReport report) {
    return row(
        report.name(),
        report.arrivals(),
        report.completed(),
        report.refusedInsideRate(),
        line("%.1f", report.overRate()),
        millis(report.latency().p50()),
        millis(report.latency().p99()),
        millis(report.firstToken().p50()),
        millis(report.firstToken().p99()),
        millis(report.betweenTokens().p50()),
        millis(report.betweenTokens().p99()));
  }

  private static String row(Object... cells) {
    return line(ROW, cells);
  }

  private static String millis(double value) {
    return line("%.1f", value);
  }

  private static String line(String format, Object... arguments) {
    return String.format(Locale.ROOT, format, arguments);
  }
}
