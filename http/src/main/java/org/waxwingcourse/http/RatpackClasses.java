package org.waxwingcourse.http;

import ratpack.http.Status;

/**
 * Initializes classes of Ratpack whose initializers need each other. Two event loops that begin
 * with different ones of them wait for each other for ever, so it is done before the first event
 * loop starts.
 */
public final class RatpackClasses {
  /** If it is not set, Ratpack looks for a debugger, for which it loads the JVM's management. */
  private static final String DEVELOPMENT_PROPERTY = "ratpack.development";

  private RatpackClasses() {}

  /** Initializes the classes, once for each process. Call it before an event loop starts. */
  public static void initialize() {
    if (System.getProperty(DEVELOPMENT_PROPERTY) == null) {
      System.setProperty(DEVELOPMENT_PROPERTY, "false");
    }
    // Status creates instances of DefaultStatus, which implements it.
    Status.OK.getCode();
  }
}
