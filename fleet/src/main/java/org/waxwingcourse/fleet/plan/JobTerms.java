package org.waxwingcourse.fleet.plan;

import java.time.Duration;

/**
 * What a route promises for its jobs.
 *
 * @param dueAfter time from the first submission in which all results are due
 * @param abandonAfter time from the first submission after which an item may be given up
 * @param maxWaitingTokens most tokens of one organisation's unfinished items, zero for no limit
 */
public record JobTerms(Duration dueAfter, Duration abandonAfter, long maxWaitingTokens) {}
