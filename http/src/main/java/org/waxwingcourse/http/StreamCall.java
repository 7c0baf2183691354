package org.waxwingcourse.http;

import io.vavr.control.Option;

/** A streamed call in progress. */
public interface StreamCall {
  /**
   * Cancels the call; the listener receives an end of kind CANCELLED. The connection is closed at
   * once if the head of the response has arrived, otherwise when the head arrives or at the
   * request's deadline. If that is too late, the receiver must be notified by a separate call.
   */
  void cancel();

  /**
   * Stops or resumes reading the response, so that the sender gets no further than the receiver.
   * What has been read already still arrives.
   */
  default void setReading(boolean reading) {}

  /** Returns the connection that the call uses, none if it has not been sent. */
  default Option<ConnectionUse> connection() {
    return Option.none();
  }

  /** Runs an action once the input of this call that has arrived by now has been read. */
  default void afterPendingInput(Runnable action) {
    action.run();
  }
}
