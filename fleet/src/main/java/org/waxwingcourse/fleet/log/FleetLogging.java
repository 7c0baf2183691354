package org.waxwingcourse.fleet.log;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.apache.logging.log4j.LogManager;

/**
 * The log of a host: lines of JSON on standard output behind a bounded queue that drops lines
 * instead of blocking. It implements the API of Log4j itself: Log4j's own implementation loads some
 * six hundred classes at the start of a host for one appender, also when it is configured in code.
 * The program closes the log itself, after everything else has stopped.
 */
public final class FleetLogging {
  static final LineQueue QUEUE = new LineQueue(System.out);

  private static final String PROVIDER_PROPERTY = "log4j.provider";

  private FleetLogging() {}

  /** Configures the log. Must be called before the first logger is created. */
  public static FleetLogging configure() {
    System.setProperty(PROVIDER_PROPERTY, LineLogProvider.class.getName());
    QUEUE.start();
    LogManager.getFactory();
    return new FleetLogging();
  }

  /** Registers the number of dropped lines as metric {@code log.dropped}. */
  public void registerMetrics(MetricRegistry metrics) {
    metrics.register("log.dropped", (Gauge<Long>) QUEUE::droppedLines);
  }
}
