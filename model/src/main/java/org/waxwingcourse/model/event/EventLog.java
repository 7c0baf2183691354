package org.waxwingcourse.model.event;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Writes numbered events to the logger of one class. */
public final class EventLog {
  private final Logger log;

  private EventLog(Logger log) {
    this.log = log;
  }

  /** Returns an event log that writes to the logger of {@code source}. */
  public static EventLog of(Class<?> source) {
    return new EventLog(LogManager.getLogger(source));
  }

  /** Logs {@code event} with the arguments of its template, in their order. */
  public void write(Event event, Object... arguments) {
    log.log(event.level(), "W" + event.number() + " " + event.template(), arguments);
  }
}
