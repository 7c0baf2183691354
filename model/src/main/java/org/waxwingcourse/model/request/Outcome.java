package org.waxwingcourse.model.request;

/** The outcome of a request, as far as this system can determine it. */
public sealed interface Outcome {
  /** The complete answer was delivered. */
  record Done() implements Outcome {}

  /**
   * The request was not run, and no upstream can have acted on it.
   *
   * @param refusal the reason, and when to retry
   */
  record Refused(Refusal refusal) implements Outcome {}

  /**
   * The request ran and failed.
   *
   * @param status the HTTP status of the upstream
   * @param message a description of the failure
   */
  record Failed(int status, String message) implements Outcome {}

  /**
   * The request may or may not have run, because its answer was lost.
   *
   * @param message the last event that was observed
   */
  record Unknown(String message) implements Outcome {}
}
