package org.waxwingcourse.fleet.log;

import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Property;

/** An appender that counts the log lines for which the queue had no room. */
final class DroppedLineCounter extends AbstractAppender {
  static final String NAME = "dropped";

  private final AtomicLong count = new AtomicLong();

  DroppedLineCounter() {
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
