package org.waxwingcourse.fleet.plan;

/** Rules for running the requests of a route. */
public enum RequestKind {
  /** The request may run more than once. */
  IDEMPOTENT,
  /** The request runs at most once. */
  AT_MOST_ONCE,
  /**
   * The answer is a stream of events; the request runs at most once unless the route's streams can
   * be resumed.
   */
  STREAM,
  /** Requests are submitted as jobs of many items, which run later. */
  JOB
}
