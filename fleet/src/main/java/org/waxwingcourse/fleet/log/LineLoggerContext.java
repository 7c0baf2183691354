package org.waxwingcourse.fleet.log;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.message.MessageFactory;
import org.apache.logging.log4j.spi.ExtendedLogger;
import org.apache.logging.log4j.spi.LoggerContext;
import org.apache.logging.log4j.spi.Terminable;

/** The loggers of a host, which write to one queue. */
final class LineLoggerContext implements LoggerContext, Terminable {
  private static final Level DEFAULT_LEVEL = Level.INFO;
  private static final Level LIBRARY_LEVEL = Level.WARN;

  private final ConcurrentMap<String, LineLogger> loggers = new ConcurrentHashMap<>();
  private final LineQueue queue;

  LineLoggerContext(LineQueue queue) {
    this.queue = queue;
  }

  @Override
  public Object getExternalContext() {
    return null;
  }

  @Override
  public ExtendedLogger getLogger(String name) {
    return getLogger(name, null);
  }

  @Override
  public ExtendedLogger getLogger(String name, MessageFactory messages) {
    LineLogger known = loggers.get(name);
    if (known != null) {
      return known;
    }
    LineLogger created = new LineLogger(name, messages, levelOf(name), queue);
    LineLogger earlier = loggers.putIfAbsent(name, created);
    return earlier == null ? created : earlier;
  }

  @Override
  public boolean hasLogger(String name) {
    return loggers.containsKey(name);
  }

  @Override
  public boolean hasLogger(String name, MessageFactory messages) {
    return hasLogger(name);
  }

  @Override
  public boolean hasLogger(String name, Class<? extends MessageFactory> messages) {
    return hasLogger(name);
  }

  @Override
  public void terminate() {
    queue.stop();
  }

  private static Level levelOf(String name) {
    return isWithin(name, "ratpack") || isWithin(name, "io.netty") ? LIBRARY_LEVEL : DEFAULT_LEVEL;
  }

  private static boolean isWithin(String name, String parent) {
    return name.equals(parent) || name.startsWith(parent + ".");
  }
}
