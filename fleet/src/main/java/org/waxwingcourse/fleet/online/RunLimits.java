package org.waxwingcourse.fleet.online;

import java.time.Duration;
import java.time.Instant;
import org.waxwingcourse.fleet.plan.Route;
import org.waxwingcourse.model.time.Deadline;

/**
 * The times of one request, worked out from its route and from what its caller allows.
 *
 * @param startBy latest start at which the first event still meets the objective
 * @param giveUpAt when a request that has not started is refused
 * @param answerBy when the final answer is due
 * @param firstEventLimit silence before the first event after which an engine is doubted
 * @param gapLimit silence between events after which an engine is doubted
 */
record RunLimits(
    Deadline startBy,
    Deadline giveUpAt,
    Deadline answerBy,
    Duration firstEventLimit,
    Duration gapLimit) {
  /** Part of the objective that waiting may take; the rest is for reading the prompt. */
  private static final double WAIT_PART = 0.72;

  /** Part of all time after which a caller is better told than kept waiting. */
  private static final double GIVE_UP_PART = 0.4;

  /** Part of the objective in which a sound engine gives its first event. */
  private static final double FIRST_EVENT_PART = 0.6;

  /** Part of the longest timely pause after which another engine may still be in time. */
  private static final double GAP_PART = 0.8;

  /** Longest pause of a sound engine where the route states no objective for it. */
  private static final Duration UNSTATED_GAP = Duration.ofMillis(500);

  static RunLimits of(Route route, Instant arrivedAt, Deadline callerDeadline) {
    Deadline answerBy = Deadline.at(arrivedAt.plus(route.timeout())).earlier(callerDeadline);
    Duration all = Duration.between(arrivedAt, answerBy.at());
    Duration gap = route.gapObjective().isZero() ? UNSTATED_GAP : route.gapObjective();
    return new RunLimits(
        Deadline.at(arrivedAt.plus(part(route.objective(), WAIT_PART))).earlier(answerBy),
        Deadline.at(arrivedAt.plus(part(all, GIVE_UP_PART))),
        answerBy,
        part(route.objective(), FIRST_EVENT_PART),
        part(gap, GAP_PART));
  }

  private static Duration part(Duration whole, double part) {
    return Duration.ofNanos((long) (whole.toNanos() * part));
  }
}
