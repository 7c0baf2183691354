package org.waxwingcourse.fleet.stream;

import io.vavr.control.Option;
import org.waxwingcourse.fleet.engine.ServerSentEventParser;

/** What one run of a request was asked for, and which events of it were received. */
public final class StreamRun {
  private final Option<Long> askedAfter;
  private Option<Long> first = Option.none();
  private Option<Long> last = Option.none();

  /** Creates a run that was asked for the events after {@code askedAfter}, none for all events. */
  public StreamRun(Option<Long> askedAfter) {
    this.askedAfter = askedAfter;
  }

  /** Records the id of an event that the engine sent. */
  public void recordReceived(long id) {
    if (id != ServerSentEventParser.NO_ID) {
      first = first.orElse(Option.some(id));
      last = Option.some(id);
    }
  }

  /** Returns {@code ASKED_AFTER>FIRST-LAST} for logs, without the last two before any event. */
  @Override
  public String toString() {
    String received = first.map(f -> f + "-" + last.get()).getOrElse("");
    return askedAfter.map(Object::toString).getOrElse("none") + ">" + received;
  }
}
