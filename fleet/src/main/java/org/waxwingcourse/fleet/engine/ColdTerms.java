package org.waxwingcourse.fleet.engine;

import java.time.Duration;

/**
 * What the cold engines of a service take.
 *
 * @param rate the requests per second that a cold engine takes from all hosts together
 * @param startTime how long an engine is cold after its start
 */
public record ColdTerms(RequestRate rate, Duration startTime) {}
