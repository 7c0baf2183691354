package org.waxwingcourse.fleet.view;

import io.vavr.control.Option;
import org.waxwingcourse.fleet.engine.RequestRate;

/**
 * What an answer of an engine has said of its limit. Of two readings the one whose request was sent
 * later holds, whichever answer arrives first.
 *
 * @param order position of the request among all that hosts have sent; see {@link SendOrder}
 * @param limit the limit, none if the answer named none
 */
public record LimitReading(long order, Option<RequestRate> limit) {
  /** The reading of an engine that has never named a limit. */
  static final LimitReading NONE = new LimitReading(0, Option.none());

  /** Returns the later of two readings; of two with one position, that with the lower limit. */
  LimitReading latest(LimitReading other) {
    if (order != other.order) {
      return order > other.order ? this : other;
    }
    return ceiling() <= other.ceiling() ? this : other;
  }

  private double ceiling() {
    return limit.map(RequestRate::perSecond).getOrElse(Double.POSITIVE_INFINITY);
  }
}
