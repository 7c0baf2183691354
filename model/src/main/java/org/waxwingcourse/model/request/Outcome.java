package org.waxwingcourse.model.request;

/** How a request ended, as far as this system can know. */
public sealed interface Outcome {
  /** The whole answer was delivered. */
  record Done() implements Outcome {}

  /**
   * The request was not run: no upstream can have acted on it.
   *
   * @param refusal why, and when to come back
   */
  record Refused(Refusal refusal) implements Outcome {}

  /**
   * The request ran and failed.
   *
   * @param status HTTP status that the upstream gave
   * @param message what went wrong
   */
  record Failed(int status, String message) implements Outcome {}

  /**
   * The request may or may not have run; its answer was lost.
   *
   * @param message what was seen last
   */
  record Unknown(String message) implements Outcome {}
}
