package org.waxwingcourse.http;

/** A streamed call in progress. */
public interface StreamCall {
  /** Closes the connection; the listener hears an end of kind CANCELLED. */
  void cancel();
}
