package org.waxwingcourse.fleet.log;

import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Property;

/** Takes the lines for which the queue had no room, and counts them. */
final class DroppedLines extends AbstractAppender {
  static final String NAME = "dropped";

  private final AtomicLong count = new AtomicLong();

  DroppedLines() {
    super(NAME, null, null, true, Property.EMPTY_ARRAY);
  }

  @Override
  public void append(LogEvent event) {
    count.incrementAndGet();
  }

  long count() {
    return count.get();
  }
}
