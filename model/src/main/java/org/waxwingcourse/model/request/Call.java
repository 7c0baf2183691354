package org.waxwingcourse.model.request;

/** A request in progress. */
public interface Call {
  /** Ends the request because its caller has gone or its right to run was withdrawn. */
  void cancel();
}
