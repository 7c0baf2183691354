package org.waxwingcourse.fleet.log;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Marker;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.message.MessageFactory;
import org.apache.logging.log4j.spi.AbstractLogger;

/** A logger that adds the lines of its level and above to a queue. */
final class LineLogger extends AbstractLogger {
  private static final long serialVersionUID = 1L;

  private final transient LineQueue queue;
  private final Level level;

  LineLogger(String name, MessageFactory messages, Level level, LineQueue queue) {
    super(name, messages);
    this.level = level;
    this.queue = queue;
  }

  @Override
  public Level getLevel() {
    return level;
  }

  @Override
  public void logMessage(
      String caller, Level lineLevel, Marker marker, Message message, Throwable thrown) {
    queue.add(
        new LogLine(
            System.currentTimeMillis(),
            lineLevel,
            message.getFormattedMessage(),
            getName(),
            Thread.currentThread().getName(),
            thrown));
  }

  private boolean covers(Level lineLevel) {
    return level.intLevel() >= lineLevel.intLevel();
  }

  @Override
  public boolean isEnabled(Level l, Marker m, Message text, Throwable t) {
    return covers(l);
  }

  @Override
  public boolean isEnabled(Level l, Marker m, CharSequence text, Throwable t) {
    return covers(l);
  }

  @Override
  public boolean isEnabled(Level l, Marker m, Object text, Throwable t) {
    return covers(l);
  }

  @Override
  public boolean isEnabled(Level l, Marker m, String text, Throwable t) {
    return covers(l);
  }

  @Override
  public boolean isEnabled(Level l, Marker m, String text) {
    return covers(l);
  }

  @Override
  public boolean isEnabled(Level l, Marker m, String text, Object... values) {
    return covers(l);
  }

  @Override
  public boolean isEnabled(Level l, Marker m, String text, Object p0) {
    return covers(l);
  }

  @Override
  public boolean isEnabled(Level l, Marker m, String text, Object p0, Object p1) {
    return covers(l);
  }

  @Override
  public boolean isEnabled(Level l, Marker m, String text, Object p0, Object p1, Object p2) {
    return covers(l);
  }

  @Override
  public boolean isEnabled(
      Level l, Marker m, String text, Object p0, Object p1, Object p2, Object p3) {
    return covers(l);
  }

  @Override
  public boolean isEnabled(
      Level l, Marker m, String text, Object p0, Object p1, Object p2, Object p3, Object p4) {
    return covers(l);
  }

  @Override
  public boolean isEnabled(
      Level l,
      Marker m,
      String text,
      Object p0,
      Object p1,
      Object p2,
      Object p3,
      Object p4,
      Object p5) {
    return covers(l);
  }

  @Override
  public boolean isEnabled(
      Level l,
      Marker m,
      String text,
      Object p0,
      Object p1,
      Object p2,
      Object p3,
      Object p4,
      Object p5,
      Object p6) {
    return covers(l);
  }

  @Override
  public boolean isEnabled(
      Level l,
      Marker m,
      String text,
      Object p0,
      Object p1,
      Object p2,
      Object p3,
      Object p4,
      Object p5,
      Object p6,
      Object p7) {
    return covers(l);
  }

  @Override
  public boolean isEnabled(
      Level l,
      Marker m,
      String text,
      Object p0,
      Object p1,
      Object p2,
      Object p3,
      Object p4,
      Object p5,
      Object p6,
      Object p7,
      Object p8) {
    return covers(l);
  }

  @Override
  public boolean isEnabled(
      Level l,
      Marker m,
      String text,
      Object p0,
      Object p1,
      Object p2,
      Object p3,
      Object p4,
      Object p5,
      Object p6,
      Object p7,
      Object p8,
      Object p9) {
    return covers(l);
  }
}
