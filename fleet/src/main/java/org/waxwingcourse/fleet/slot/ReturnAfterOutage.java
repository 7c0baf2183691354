package org.waxwingcourse.fleet.slot;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;

/**
 * Decides when callers are to come back who are refused since no engine is usable. This serves the
 * loss of all engines for seconds: a caller returns only once, and not at all if it is told a time
 * later than a third of the time it has left. When the engines will be back is not known, so each
 * caller is told the latest time that it follows. The returns are spread as the requests were.
 */
final class ReturnAfterOutage {
  /** Earliest time stated; a new connection takes as long. */
  private static final Duration MIN_DELAY = Duration.ofMillis(30);

  /** Latest time stated; lost engines are mostly back after some seconds. */
  private static final Duration MAX_DELAY = Duration.ofSeconds(2);

  /**
   * Part of the time until a request is given up within which its caller follows a stated time. A
   * request is given up after 0.4 of the caller's time, so a third of the caller's time is 0.83 of
   * the time until then; the rest is for the refusal's way to the caller.
   */
  private static final double FOLLOWED_PART = 0.8;

  private ReturnAfterOutage() {}

  /** Returns the time for the caller of an online request; none if it has no organisation. */
  static Option<Instant> returnTime(SlotRequest request, Instant now) {
    return request.organisation().map(o -> now.plus(delay(request.giveUpAt().remaining(now))));
  }

  private static Duration delay(Duration left) {
    Duration followed = Duration.ofNanos((long) (left.toNanos() * FOLLOWED_PART));
    if (followed.compareTo(MIN_DELAY) < 0) {
      return MIN_DELAY;
    }
    return followed.compareTo(MAX_DELAY) > 0 ? MAX_DELAY : followed;
  }
}
