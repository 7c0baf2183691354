package org.waxwingcourse.fleet.log;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Property;

/**
 * An appender that writes lines to a stream and flushes it after the last line of a batch. Log4j's
 * own console appender can only be built through a builder that validates annotated fields by
 * reflection, which generates a proxy class for each annotation at every start.
 */
final class StreamAppender extends AbstractAppender {
  private final OutputStream stream;

  StreamAppender(String name, OutputStream stream) {
    super(name, null, new JsonLineLayout(), true, Property.EMPTY_ARRAY);
    this.stream = new BufferedOutputStream(stream);
  }

  @Override
  public synchronized void append(LogEvent event) {
    try {
      stream.write(getLayout().toByteArray(event));
      if (event.isEndOfBatch()) {
        stream.flush();
      }
    } catch (IOException e) {
      // There is no other place to write to; Log4j reports the error to its status logger.
      error("the log line cannot be written", event, e);
    }
  }

  /** Flushes the last lines: a queue that stops does not mark the last of them as one. */
  @Override
  public synchronized boolean stop(long timeout, TimeUnit unit) {
    try {
      stream.flush();
    } catch (IOException e) {
      getHandler().error("the last log lines cannot be written", e);
    }
    return super.stop(timeout, unit);
  }
}
