package org.waxwingcourse.batch.run;

import java.time.Duration;
import java.time.Instant;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;

/** The decision on how to continue with an item after one attempt. */
sealed interface AttemptDecision {
  /** The delay between two attempts of an item that failed. */
  Duration RETRY_DELAY = Duration.ofSeconds(2);

  /**
   * The item ends with a response as its result.
   *
   * @param status the HTTP status of the response
   */
  record Answered(int status) implements AttemptDecision {}

  /**
   * The item ends with an error.
   *
   * @param code the error code
   * @param message the error message
   */
  record Error(String code, String message) implements AttemptDecision {}

  /**
   * The item is tried again.
   *
   * @param notBefore the earliest time of the next attempt
   * @param isCounted whether the last attempt counts towards the maximum
   */
  record Retry(Instant notBefore, boolean isCounted) implements AttemptDecision {}

  /**
   * Decides how to continue after an attempt.
   *
   * @param status the HTTP status of the response, zero if there was none
   * @param attempts the number of counted attempts, including this one
   * @param maxAttempts the maximum number of attempts
   * @param repeatable whether the item may be sent again after it may have run
   */
  static AttemptDecision of(
      Outcome outcome, int status, int attempts, int maxAttempts, boolean repeatable, Instant now) {
    if (outcome instanceof Outcome.Done) {
      return status >= 500 && repeatable && attempts < maxAttempts
          ? new Retry(now.plus(RETRY_DELAY), true)
          : new Answered(status);
    }
    if (outcome instanceof Outcome.Refused refused) {
      return ofRefusal(refused.refusal(), now);
    }
    if (outcome instanceof Outcome.Unknown unknown && !repeatable) {
      return new Error("outcome_unknown", "the item may have run: " + unknown.message());
    }
    boolean isClientError =
        outcome instanceof Outcome.Failed failed && failed.status() >= 400 && failed.status() < 500;
    if (repeatable && attempts < maxAttempts && !isClientError) {
      return new Retry(now.plus(RETRY_DELAY), true);
    }
    String message =
        outcome instanceof Outcome.Failed failed
            ? failed.message()
            : ((Outcome.Unknown) outcome).message();
    return new Error("item_failed", message + " (" + attempts + " tries)");
  }

  private static AttemptDecision ofRefusal(Refusal refusal, Instant now) {
    RefusalCode code = refusal.code();
    boolean isPermanent =
        code == RefusalCode.INVALID_REQUEST
            || code == RefusalCode.NOT_FOUND
            || code == RefusalCode.BODY_TOO_LARGE
            || code == RefusalCode.INVALID_KEY;
    if (isPermanent) {
      return new Error(code.wireName(), refusal.message());
    }
    Instant nextAttemptAt =
        refusal.retryAt().isAfter(now) ? refusal.retryAt() : now.plus(RETRY_DELAY);
    return new Retry(nextAttemptAt, false);
  }
}
