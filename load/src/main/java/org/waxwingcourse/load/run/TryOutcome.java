package org.waxwingcourse.load.run;

/** How one try of a request ended for the caller. */
enum TryOutcome {
  COMPLETED,
  /** The answer ended as if whole, but lacks its end. */
  TRUNCATED,
  /** The answer belongs to another request, or has missing or doubled parts. */
  WRONG_ANSWER,
  /** Status 429. */
  RATE_LIMITED,
  /** Status 503. */
  UNAVAILABLE,
  /** Any other status that is no success. */
  ERROR_STATUS,
  NOT_SENT,
  LOST,
  TIMED_OUT
}
