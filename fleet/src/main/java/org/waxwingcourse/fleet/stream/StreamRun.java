package org.waxwingcourse.fleet.stream;

import io.vavr.control.Option;
import org.waxwingcourse.fleet.engine.ServerSentEventParser;
import org.waxwingcourse.fleet.engine.ServerSentEventParser.ServerSentEvent;
import org.waxwingcourse.fleet.engine.SoftwareId;

/** What one run of a request was asked for, and which events of it were received. */
public final class StreamRun {
  private final JoinedStream stream;
  private final Option<Long> askedAfter;
  private final SoftwareId software;
  private Option<Long> first = Option.none();
  private Option<Long> last = Option.none();
  private boolean appended;

  StreamRun(JoinedStream stream, Option<Long> askedAfter, SoftwareId software) {
    this.stream = stream;
    this.askedAfter = askedAfter;
    this.software = software;
  }

  SoftwareId software() {
    return software;
  }

  /** Returns the event after which the run is asked to go on, none to begin with the first. */
  public Option<Long> askedAfter() {
    return askedAfter;
  }

  /** Returns whether an event of the run has become part of the stream. */
  public boolean hasAppended() {
    return appended;
  }

  /**
   * Appends an event to the stream unless it is blank; returns why it is out of place, if it is.
   */
  public Option<OutOfPlace> append(ServerSentEvent event) {
    if (event.id() != ServerSentEventParser.NO_ID) {
      first = first.orElse(Option.some(event.id()));
      last = Option.some(event.id());
    }
    Option<OutOfPlace> outOfPlace = stream.append(this, event);
    appended |= outOfPlace.isEmpty() && !event.isBlank();
    return outOfPlace;
  }

  /** Returns {@code ASKED_AFTER>FIRST-LAST} for logs, without the last two before any event. */
  @Override
  public String toString() {
    String received = first.map(f -> f + "-" + last.get()).getOrElse("");
    return askedAfter.map(Object::toString).getOrElse("none") + ">" + received;
  }
}
