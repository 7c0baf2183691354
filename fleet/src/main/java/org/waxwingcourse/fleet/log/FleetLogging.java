package org.waxwingcourse.fleet.log;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.Appender;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.AppenderRef;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.LoggerConfig;

/**
 * Sets up the log of a host: lines of JSON on standard output behind a bounded queue that drops
 * rather than blocks. Built without a file, since reading one takes a starting host a quarter of a
 * second. The program closes the log itself, after everything else has stopped.
 */
public final class FleetLogging {
  /** Lines that may wait; a second of them at full load. */
  private static final int QUEUE_LINES = 2048;

  /** The context of the log is made from the configuration, not the other way round. */
  private static final LoggerContext NOT_YET_MADE = null;

  static final String QUEUE = "log-queue";
  private static final String CONSOLE = "console";

  private final DroppedLines dropped = new DroppedLines();

  /** Sets up the log. To be called before the first line is written. */
  public static FleetLogging start() {
    FleetLogging logging = new FleetLogging();
    Configurator.initialize(FleetLogging.class.getClassLoader(), logging.lines());
    return logging;
  }

  AbstractConfiguration lines() {
    return new Lines();
  }

  /** Registers the number of lines that were dropped as {@code log.dropped}. */
  public void register(MetricRegistry metrics) {
    metrics.register("log.dropped", (Gauge<Long>) dropped::count);
  }

  /** The appenders and levels. The appenders are started with the configuration, not here. */
  private final class Lines extends AbstractConfiguration {
    Lines() {
      super(NOT_YET_MADE, ConfigurationSource.NULL_SOURCE);
      isShutdownHookEnabled = false;
    }

    @Override
    protected void doConfigure() {
      addAppender(dropped);
      addAppender(
          ConsoleAppender.newBuilder()
              .setName(CONSOLE)
              .setTarget(ConsoleAppender.Target.SYSTEM_OUT)
              .setLayout(new JsonLines())
              .build());
      Appender queue =
          AsyncAppender.newBuilder()
              .setName(QUEUE)
              .setBlocking(false)
              .setBufferSize(QUEUE_LINES)
              .setAppenderRefs(
                  new AppenderRef[] {AppenderRef.createAppenderRef(CONSOLE, null, null)})
              .setErrorRef(DroppedLines.NAME)
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
