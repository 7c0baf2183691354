package org.waxwingcourse.fleet.stream;

import io.vavr.control.Option;
import org.waxwingcourse.fleet.engine.ServerSentEventParser;
import org.waxwingcourse.fleet.engine.ServerSentEventParser.ServerSentEvent;
import org.waxwingcourse.fleet.engine.SoftwareId;

/**
 * The events of one stream, joined from the runs that send them. Only the run that was begun last
 * may append, with the next event, and only if its software is the one that began the stream.
 *
 * <p>Not safe for use by several threads; its owner's lock guards it and its runs.
 */
public final class JoinedStream {
  private Option<Long> lastEventId;
  private Option<SoftwareId> software;
  private Option<StreamRun> current = Option.none();
  private int eventCount;
  private boolean numbered = true;

  private JoinedStream(Option<Long> lastEventId, Option<SoftwareId> software) {
    this.lastEventId = lastEventId;
    this.software = software;
  }

  /** Returns a stream without events. */
  public static JoinedStream empty() {
    return new JoinedStream(Option.none(), Option.none());
  }

  /**
   * Returns the rest of a stream.
   *
   * @param lastEventId the last event that its receiver has, none if it has none
   * @param software what sent that event, none if that is not known
   */
  public static JoinedStream after(Option<Long> lastEventId, Option<SoftwareId> software) {
    return new JoinedStream(lastEventId, software);
  }

  /**
   * Begins the run that is to send the next events, in place of the run before.
   *
   * @param runSoftware the software that runs it
   */
  public StreamRun beginRun(SoftwareId runSoftware) {
    StreamRun run = new StreamRun(this, lastEventId, runSoftware);
    current = Option.some(run);
    return run;
  }

  /** Returns the event after which the next run is to go on, none to begin with the first. */
  public Option<Long> lastEventId() {
    return lastEventId;
  }

  /** Returns the software that sent the events so far, none if there is none or it is unknown. */
  public Option<SoftwareId> software() {
    return software;
  }

  /** Returns the number of events appended. */
  public int eventCount() {
    return eventCount;
  }

  /** Returns whether another run can be asked for the next events: all so far have had an id. */
  public boolean canGoOn() {
    return numbered;
  }

  /** Drops all events, so that the next run begins with the first. */
  public void clear() {
    lastEventId = Option.none();
    software = Option.none();
    current = Option.none();
    eventCount = 0;
    numbered = true;
  }

  /** Appends an event of a run unless it is blank; returns why it is out of place, if it is. */
  Option<OutOfPlace> append(StreamRun run, ServerSentEvent event) {
    if (!current.contains(run)) {
      return Option.some(OutOfPlace.REPLACED_RUN);
    }
    if (software.exists(s -> !s.equals(run.software()))) {
      return Option.some(OutOfPlace.OTHER_SOFTWARE);
    }
    if (event.isBlank()) {
      return Option.none();
    }
    boolean hasId = event.id() != ServerSentEventParser.NO_ID;
    if (hasId && numbered && lastEventId.exists(last -> event.id() != last + 1)) {
      return Option.some(OutOfPlace.NOT_NEXT);
    }
    software = Option.some(run.software());
    lastEventId = hasId ? Option.some(event.id()) : lastEventId;
    numbered &= hasId;
    eventCount++;
    return Option.none();
  }
}
