package org.waxwingcourse.model.event;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Writes numbered events to the log of one class. */
public final class EventLog {
  private final Logger log;

  private EventLog(Logger log) {
    this.log = log;
  }

  /** Returns the event log of {@code source}. */
  public static EventLog of(Class<?> source) {
    return new EventLog(LogManager.getLogger(source));
  }

  /** Logs {@code event} with its arguments in the order of its template. */
  public void write(Event event, Object... arguments) {
    log.log(event.level(), "W" + event.number() + " " + event.template(), arguments);
  }
}
