package org.waxwingcourse.load.run;

/** How one attempt to send a request ended for the caller. */
enum AttemptOutcome {
  COMPLETED,
  /** The answer ended without an error but is incomplete. */
  TRUNCATED,
  /** The answer belongs to another request, or has missing or duplicate parts. */
  WRONG_ANSWER,
  /** Status 429. */
  RATE_LIMITED,
  /** Status 503. */
  UNAVAILABLE,
  /** Any other status that is not a success. */
  ERROR_STATUS,
  NOT_SENT,
  LOST,
  TIMED_OUT
}
