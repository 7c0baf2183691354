package org.waxwingcourse.batch.run;

import java.time.Duration;
import java.time.Instant;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;

/** What becomes of an item after one try. */
sealed interface ItemFate {
  /** Waits between two tries of an item that failed. */
  Duration RETRY_WAIT = Duration.ofSeconds(2);

  /**
   * The item has its result.
   *
   * @param status HTTP status of the answer
   */
  record Answered(int status) implements ItemFate {}

  /**
   * The item ends with an error.
   *
   * @param code name of the error
   * @param message what went wrong
   */
  record Error(String code, String message) implements ItemFate {}

  /**
   * The item is tried again.
   *
   * @param notBefore when
   * @param tried whether the try counts
   */
  record Again(Instant notBefore, boolean tried) implements ItemFate {}

  /**
   * Decides after a try.
   *
   * @param status the status that the answer began with, zero if none came
   * @param tries tries that counted, this one included
   * @param most how many tries an item gets
   * @param repeatable whether the item may be sent again once it may have run
   */
  static ItemFate of(
      Outcome outcome, int status, int tries, int most, boolean repeatable, Instant now) {
    if (outcome instanceof Outcome.Done) {
      return status >= 500 && repeatable && tries < most
          ? new Again(now.plus(RETRY_WAIT), true)
          : new Answered(status);
    }
    if (outcome instanceof Outcome.Refused refused) {
      return refused(refused.refusal(), now);
    }
    if (outcome instanceof Outcome.Unknown unknown && !repeatable) {
      return new Error("outcome_unknown", "the item may have run: " + unknown.message());
    }
    boolean rejected = outcome instanceof Outcome.Failed f && f.status() >= 400 && f.status() < 500;
    if (repeatable && tries < most && !rejected) {
      return new Again(now.plus(RETRY_WAIT), true);
    }
    String message =
        outcome instanceof Outcome.Failed f ? f.message() : ((Outcome.Unknown) outcome).message();
    return new Error("item_failed", message + " (" + tries + " tries)");
  }

  private static ItemFate refused(Refusal refusal, Instant now) {
    RefusalCode code = refusal.code();
    boolean forGood =
        code == RefusalCode.INVALID_REQUEST
            || code == RefusalCode.NOT_FOUND
            || code == RefusalCode.BODY_TOO_LARGE
            || code == RefusalCode.INVALID_KEY;
    if (forGood) {
      return new Error(code.wireName(), refusal.message());
    }
    Instant next = refusal.retryAt().isAfter(now) ? refusal.retryAt() : now.plus(RETRY_WAIT);
    return new Again(next, false);
  }
}
