package org.waxwingcourse.fleet.plan;

import java.time.Duration;

/**
 * The time and size limits of a route's jobs.
 *
 * @param dueAfter time from the first submission within which all results are due
 * @param abandonAfter time from the first submission after which an item may be abandoned
 * @param maxWaitingTokens maximum tokens of one organisation's unfinished items, zero for no limit
 */
public record JobTerms(Duration dueAfter, Duration abandonAfter, long maxWaitingTokens) {}
