package org.waxwingcourse.http;

/**
 * An HTTP call without a whole answer.
 *
 * @param kind what the caller may conclude
 * @param message what was seen
 */
public record CallFailure(Kind kind, String message) {
  /** What a failure proves about the request. */
  public enum Kind {
    /** No connection was made: no byte of the request left this process. */
    NOT_SENT,
    /** The connection ended before the answer did; the request may have run. */
    LOST,
    /** The deadline passed first; the request may have run. */
    TIMED_OUT,
    /** The caller cancelled the call; the request may have run. */
    CANCELLED
  }
}
