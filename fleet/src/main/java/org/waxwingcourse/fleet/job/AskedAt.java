package org.waxwingcourse.fleet.job;

import java.time.Instant;

/**
 * The moment at which a call to the store was sent. What its answer shows was so then or later.
 *
 * @param instant the time on the steady clock
 * @param term this host's registration term at that time, under which it holds a job
 */
record AskedAt(Instant instant, long term) {}
