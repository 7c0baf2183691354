package org.waxwingcourse.fleet.log;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.Appender;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.AppenderRef;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.LoggerConfig;

/**
 * Configures the log of a host: lines of JSON on standard output behind a bounded queue that drops
 * lines instead of blocking. The configuration is built in code, since reading it from a file takes
 * a quarter of a second at the start of a host. The program closes the log itself, after everything
 * else has stopped.
 */
public final class FleetLogging {
  /** Capacity of the queue in lines; one second of lines at full load. */
  private static final int QUEUE_LINES = 2048;

  /** The logger context is created from this configuration, so there is none yet. */
  private static final LoggerContext NO_CONTEXT = null;

  static final String QUEUE = "log-queue";
  private static final String CONSOLE = "console";

  private final DroppedLineCounter droppedLines = new DroppedLineCounter();

  /** Configures the log. Must be called before the first line is logged. */
  public static FleetLogging configure() {
    FleetLogging logging = new FleetLogging();
    Configurator.initialize(FleetLogging.class.getClassLoader(), logging.createConfiguration());
    return logging;
  }

  AbstractConfiguration createConfiguration() {
    return new LogConfiguration();
  }

  /** Registers the number of dropped lines as metric {@code log.dropped}. */
  public void registerMetrics(MetricRegistry metrics) {
    metrics.register("log.dropped", (Gauge<Long>) droppedLines::count);
  }

  /**
   * Defines the appenders and levels. Log4j starts the appenders together with the configuration.
   */
  private final class LogConfiguration extends AbstractConfiguration {
    LogConfiguration() {
      super(NO_CONTEXT, ConfigurationSource.NULL_SOURCE);
      isShutdownHookEnabled = false;
    }

    @Override
    protected void doConfigure() {
      addAppender(droppedLines);
      addAppender(new StreamAppender(CONSOLE, System.out));
      Appender queue =
          AsyncAppender.newBuilder()
              .setName(QUEUE)
              .setBlocking(false)
              .setBufferSize(QUEUE_LINES)
              .setAppenderRefs(
                  new AppenderRef[] {AppenderRef.createAppenderRef(CONSOLE, null, null)})
              .setErrorRef(DroppedLineCounter.NAME)
              .setConfiguration(this)
              .build();
      addAppender(queue);
      getRootLogger().addAppender(queue, null, null);
      getRootLogger().setLevel(Level.INFO);
      addLogger("ratpack", new LoggerConfig("ratpack", Level.WARN, true));
      addLogger("io.netty", new LoggerConfig("io.netty", Level.WARN, true));
    }
  }
}
