package org.waxwingcourse.model.request;

/** A request in progress. */
public interface Call {
  /** Cancels the request because its caller disconnected or because it may no longer run. */
  void cancel();
}
