package org.waxwingcourse.fleet.engine;

import java.time.Instant;

/**
 * What a cold engine takes, and until when this engine counts as cold.
 *
 * @param terms what cold engines of the service take
 * @param until when the engine no longer counts as cold, on the monotonic clock; in the past if it
 *     does not now
 */
public record ColdState(ColdTerms terms, Instant until) {}
