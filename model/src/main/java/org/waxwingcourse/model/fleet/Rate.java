package org.waxwingcourse.model.fleet;

/**
 * The request rate of an organisation over all hosts: at most {@code burst + perSecond * T}
 * requests in any window of T seconds.
 *
 * @param perSecond requests per second, greater than zero
 * @param burst the maximum number of requests at once, at least one
 */
public record Rate(double perSecond, int burst) {
  /** Rejects values out of range. */
  public Rate {
    if (!(perSecond > 0)) {
      throw new IllegalArgumentException("rate must be greater than zero requests per second");
    }
    if (burst < 1) {
      throw new IllegalArgumentException("burst must be at least one request");
    }
  }

  /** Returns the rate with the given values. */
  public static Rate of(double perSecond, int burst) {
    return new Rate(perSecond, burst);
  }
}
