package org.waxwingcourse.fleet;

import java.time.Duration;
import java.time.Instant;
import org.waxwingcourse.model.time.Deadline;

/**
 * Decides during a planned stop which requests are admitted and when the process may end. A request
 * is admitted only if its time limit ends before the process does, so that none that was accepted
 * is cut; one with a short time limit is admitted for longer than one with a long one.
 *
 * <p>Safe for use by several threads.
 */
final class StopSchedule {
  private final Deadline stopAt;
  private final Deadline callersGoneAt;
  private boolean closed;

  /**
   * Creates a schedule.
   *
   * @param stopAt when connections are closed
   * @param callersGoneAt when callers have had time to use other hosts
   */
  private StopSchedule(Deadline stopAt, Deadline callersGoneAt) {
    this.stopAt = stopAt;
    this.callersGoneAt = callersGoneAt;
  }

  /**
   * Returns the schedule of a stop.
   *
   * @param requestedAt when the stop was requested
   * @param limit time from then until connections are closed
   * @param callersLeave time in which callers begin to use other hosts
   */
  static StopSchedule of(Instant requestedAt, Duration limit, Duration callersLeave) {
    return new StopSchedule(
        Deadline.at(requestedAt.plus(limit)), Deadline.at(requestedAt.plus(callersLeave)));
  }

  /** Returns whether a request is admitted whose time limit ends at {@code answerBy}. */
  synchronized boolean admits(Deadline answerBy) {
    return !closed && answerBy.compareTo(stopAt) <= 0;
  }

  /**
   * Returns whether the process may end: at its time, or before it once callers are gone and
   * nothing is in progress. Before it may end, it admits no more requests; a request that was
   * admitted until then is in progress by the next call.
   */
  synchronized boolean mayEnd(boolean isIdle, Instant now) {
    if (stopAt.isPast(now)) {
      closed = true;
      return true;
    }
    boolean wasClosed = closed;
    closed |= isIdle && callersGoneAt.isPast(now);
    return wasClosed && isIdle;
  }
}
