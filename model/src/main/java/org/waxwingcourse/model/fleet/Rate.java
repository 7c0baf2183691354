package org.waxwingcourse.model.fleet;

/**
 * What an organisation may send over all hosts together: in any window of T seconds at most {@code
 * burst + perSecond * T} requests.
 *
 * @param perSecond requests per second, more than zero
 * @param burst requests at once, at least one
 */
public record Rate(double perSecond, int burst) {
  /** Refuses values out of range. */
  public Rate {
    if (!(perSecond > 0)) {
      throw new IllegalArgumentException("a rate is more than zero requests per second");
    }
    if (burst < 1) {
      throw new IllegalArgumentException("a burst is at least one request");
    }
  }

  /** Returns the rate with the given values. */
  public static Rate of(double perSecond, int burst) {
    return new Rate(perSecond, burst);
  }
}
