package org.waxwingcourse.fleet.online;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import org.waxwingcourse.fleet.plan.Route;
import org.waxwingcourse.model.time.Deadline;

/**
 * The time limits of one request, computed from its route and the time that its caller allows.
 *
 * @param startBy latest start at which the first event still meets the objective
 * @param giveUpAt when a request that has not started is refused
 * @param answerBy when the final answer is due
 * @param firstEventLimit silence before the first event after which the engine counts as silent
 * @param gapLimit silence between events after which the engine counts as silent
 */
record RunLimits(
    Deadline startBy,
    Deadline giveUpAt,
    Deadline answerBy,
    Duration firstEventLimit,
    Duration gapLimit) {
  /** Fraction of the objective that waiting may take; the rest is for processing the prompt. */
  private static final double WAIT_FRACTION = 0.72;

  /**
   * Fraction of the total time after which a waiting request is refused, so that its caller can
   * retry.
   */
  private static final double GIVE_UP_FRACTION = 0.4;

  /** Fraction of the objective within which a healthy engine sends its first event. */
  private static final double FIRST_EVENT_FRACTION = 0.6;

  /**
   * Fraction of the longest pause that is on time after which another engine may still be in time.
   */
  private static final double GAP_FRACTION = 0.8;

  /** Longest pause of a healthy engine, for routes that state no objective for it. */
  private static final Duration DEFAULT_GAP_OBJECTIVE = Duration.ofMillis(500);

  static RunLimits of(Route route, Instant arrivedAt, Option<Deadline> callerDeadline) {
    Deadline answerBy = route.answerBy(arrivedAt, callerDeadline);
    Duration totalTime = Duration.between(arrivedAt, answerBy.at());
    Duration gap = route.gapObjective().isZero() ? DEFAULT_GAP_OBJECTIVE : route.gapObjective();
    return new RunLimits(
        Deadline.at(arrivedAt.plus(fractionOf(route.objective(), WAIT_FRACTION))).earlier(answerBy),
        Deadline.at(arrivedAt.plus(fractionOf(totalTime, GIVE_UP_FRACTION))),
        answerBy,
        fractionOf(route.objective(), FIRST_EVENT_FRACTION),
        fractionOf(gap, GAP_FRACTION));
  }

  private static Duration fractionOf(Duration whole, double fraction) {
    return Duration.ofNanos((long) (whole.toNanos() * fraction));
  }
}
