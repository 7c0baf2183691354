package org.waxwingcourse.cli.report;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Base64;
import java.util.Date;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.data.time.Millisecond;
import org.jfree.data.time.TimeSeries;
import org.jfree.data.time.TimeSeriesCollection;

/** Plots the burn rate of one objective over time, with a line for each organisation. */
final class BurnPlot {
  private static final int WIDTH = 900;
  private static final int HEIGHT = 320;

  private BurnPlot() {}

  /** Returns the plot as a data URI with a PNG image. */
  static String dataUri(SampleHistory history, ServiceLevelObjective slo) {
    TimeSeriesCollection lines = new TimeSeriesCollection();
    for (SeriesKey series : history.series()) {
      if (series.objective().equals(slo.wireName())) {
        lines.addSeries(createLine(history, series, slo));
      }
    }
    String title = slo.wireName() + ", burn over " + Window.M5.label();
    JFreeChart chart = ChartFactory.createTimeSeriesChart(title, "time", "burn", lines);
    try {
      byte[] png = ChartUtils.encodeAsPNG(chart.createBufferedImage(WIDTH, HEIGHT));
      return "data:image/png;base64," + Base64.getEncoder().encodeToString(png);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static TimeSeries createLine(
      SampleHistory history, SeriesKey series, ServiceLevelObjective slo) {
    TimeSeries line = new TimeSeries(series.organisation());
    for (long at : history.sampleTimes()) {
      long from = at - Window.M5.length().toMillis();
      double burn = slo.burnRate(history.increase(series, from, at));
      line.addOrUpdate(new Millisecond(new Date(at)), burn);
    }
    return line;
  }
}
