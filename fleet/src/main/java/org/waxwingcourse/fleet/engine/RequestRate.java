package org.waxwingcourse.fleet.engine;

import io.vavr.control.Option;

/**
 * A number of requests per second.
 *
 * @param perSecond a finite number, zero or more
 */
public record RequestRate(double perSecond) {
  /** Checks the number. */
  public RequestRate {
    if (!isValid(perSecond)) {
      throw new IllegalArgumentException("not a rate: " + perSecond);
    }
  }

  /** Returns the rate, none if the number is negative or not finite. */
  public static Option<RequestRate> of(double perSecond) {
    return Option.when(isValid(perSecond), () -> new RequestRate(perSecond));
  }

  private static boolean isValid(double perSecond) {
    return Double.isFinite(perSecond) && perSecond >= 0;
  }

  @Override
  public String toString() {
    return perSecond + " requests/s";
  }
}
