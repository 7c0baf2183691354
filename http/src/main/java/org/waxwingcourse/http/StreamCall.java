package org.waxwingcourse.http;

/** A streamed call in progress. */
public interface StreamCall {
  /**
   * Ends the call; the listener hears an end of kind CANCELLED. The connection closes at once if
   * the head of the answer has come, else as soon as it comes or at the request's deadline; tell
   * the receiver by a call of its own where that is too late.
   */
  void cancel();
}
