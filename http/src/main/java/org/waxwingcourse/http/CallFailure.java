package org.waxwingcourse.http;

/**
 * A failed HTTP call, for which no complete response was received.
 *
 * @param kind what the failure implies about the request
 * @param message a description of the failure
 */
public record CallFailure(Kind kind, String message) {
  /** What a failure implies about the request. */
  public enum Kind {
    /** No connection was established, so no byte of the request was sent. */
    NOT_SENT,
    /** The connection closed before the response was complete; the request may have run. */
    LOST,
    /**
     * The upstream sent bytes that are no response, or that do not end, and this side closed the
     * connection; the request may have run.
     */
    MALFORMED,
    /** The deadline passed before the response was complete; the request may have run. */
    TIMED_OUT,
    /** The caller cancelled the call; the request may have run. */
    CANCELLED
  }
}
