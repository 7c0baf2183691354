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

/** Plots the burn of one objective over time, a line for each organisation. */
final class BurnPlot {
  private static final int WIDTH = 900;
  private static final int HEIGHT = 320;

  private BurnPlot() {}

  /** Returns the plot as a PNG in a data URI. */
  static String dataUri(History history, Target target) {
    TimeSeriesCollection lines = new TimeSeriesCollection();
    for (Series series : history.series()) {
      if (series.objective().equals(target.objective())) {
        lines.addSeries(line(history, series, target));
      }
    }
    String title = target.objective() + ", burn over " + Window.M5.label();
    JFreeChart chart = ChartFactory.createTimeSeriesChart(title, "time", "burn", lines);
    try {
      byte[] png = ChartUtils.encodeAsPNG(chart.createBufferedImage(WIDTH, HEIGHT));
      return "data:image/png;base64," + Base64.getEncoder().encodeToString(png);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static TimeSeries line(History history, Series series, Target target) {
    TimeSeries line = new TimeSeries(series.organisation());
    for (long at : history.rounds()) {
      long from = at - Window.M5.length().toMillis();
      double burn = target.burn(history.increase(series, from, at));
      line.addOrUpdate(new Millisecond(new Date(at)), burn);
    }
    return line;
  }
}
