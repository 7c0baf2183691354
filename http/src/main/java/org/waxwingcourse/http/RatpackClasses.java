package org.waxwingcourse.http;

import ratpack.http.Status;

/**
 * Initializes classes of Ratpack whose initializers need each other. Two event loops that begin
 * with different ones of them wait for each other for ever, so it is done before the first event
 * loop starts.
 */
public final class RatpackClasses {
  private RatpackClasses() {}

  /** Initializes the classes, once for each process. Call it before an event loop starts. */
  public static void initialize() {
    // Status creates instances of DefaultStatus, which implements it.
    Status.OK.getCode();
  }
}
