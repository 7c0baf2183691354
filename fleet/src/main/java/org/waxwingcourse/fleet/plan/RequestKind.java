package org.waxwingcourse.fleet.plan;

/** What may be done with the requests of a route. */
public enum RequestKind {
  /** May run more than once. */
  IDEMPOTENT,
  /** Runs at most once. */
  AT_MOST_ONCE,
  /** Answered by a stream of events; runs at most once unless the route's streams resume. */
  STREAM,
  /** Handed in as jobs of many items, run later. */
  JOB
}
